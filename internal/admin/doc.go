// Package admin makes the changes that operators ask for. Each change is one
// entry of the change log; see package platform for what happens when operators
// race or the store's answer is lost.
package admin
