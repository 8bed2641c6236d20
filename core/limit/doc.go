// Package limit decides how much work an endpoint may get.
//
// A Gate belongs to one endpoint and lives on its keeper, the one instance that
// admits new flows and requests to it, so that its limits hold in sum over all
// instances. The gate trusts its own counts first: flows it admitted since the
// last report are added to what the report says, and a report that falls
// silent changes the state at once. A cold endpoint gets no more new flows in
// sum than its profile allows until it reports warm, then a share of its
// capacity that grows until the warm-up deadline.
package limit
