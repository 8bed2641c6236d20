// Package endpoint speaks to endpoints: it fetches their load reports and sends
// them requests. Packets of flows reach endpoints by way of package fabric.
package endpoint
