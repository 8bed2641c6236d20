package edge

import (
	"fmt"

	"carawaycart/internal/eventlog"
)

// logPanic logs a panic of the function that deferred it, and ends the panic. The source
// tells where the message came from whose handling panicked: one message that is not
// foreseen must not end the process, and with it the service to all others.
func logPanic(log *eventlog.Log, source string) {
	if p := recover(); p != nil {
		log.Event("panic").Text("source", source).Text("error", fmt.Sprint(p)).End()
	}
}
