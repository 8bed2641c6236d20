package caller

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"carawaycart"
)

// Headers of responses.
const (
	OutcomeHeader = "Outcome"
	CauseHeader   = "Cause"
)

// Cause tells why the balancer answered in the endpoint's place.
type Cause string

// The causes.
const (
	CauseMalformed       Cause = "malformed"
	CauseUnknownService  Cause = "unknownService"
	CauseKeyMisused      Cause = "keyMisused"
	CauseTooLarge        Cause = "tooLarge"
	CauseBodyCutOff      Cause = "bodyCutOff"
	CauseNotReady        Cause = "notReady"
	CauseNoRoom          Cause = "noRoom"
	CauseClaimRefused    Cause = "claimRefused"
	CauseEndpointRefused Cause = "endpointRefused"
	CauseEndpointLost    Cause = "endpointLost"
	CauseEarlierAttempt  Cause = "earlierAttempt"
	CauseClaimsLost      Cause = "claimsLost"
	CauseAnswerNotKept   Cause = "answerNotKept"
)

// statuses gives the response status of each cause.
var statuses = map[Cause]int{
	CauseMalformed:       http.StatusBadRequest,
	CauseUnknownService:  http.StatusNotFound,
	CauseKeyMisused:      http.StatusUnprocessableEntity,
	CauseTooLarge:        http.StatusRequestEntityTooLarge,
	CauseBodyCutOff:      http.StatusBadRequest,
	CauseNotReady:        http.StatusServiceUnavailable,
	CauseNoRoom:          http.StatusServiceUnavailable,
	CauseClaimRefused:    http.StatusServiceUnavailable,
	CauseEndpointRefused: http.StatusServiceUnavailable,
	CauseEndpointLost:    http.StatusGatewayTimeout,
	CauseEarlierAttempt:  http.StatusGatewayTimeout,
	CauseClaimsLost:      http.StatusGatewayTimeout,
	CauseAnswerNotKept:   http.StatusConflict,
}

// explanation is the body of a response that the balancer wrote itself.
type explanation struct {
	Outcome carawaycart.Outcome `json:"outcome"`
	Cause   Cause               `json:"cause"`
	Detail  string              `json:"detail,omitempty"`
}

// retryAfter is when a caller may try again what was not run.
const retryAfter = time.Second

// WriteOutcome answers in the endpoint's place.
func WriteOutcome(w http.ResponseWriter, outcome carawaycart.Outcome, cause Cause, detail string) {
	h := w.Header()
	h.Set(OutcomeHeader, string(outcome))
	h.Set(CauseHeader, string(cause))
	h.Set("Content-Type", "application/json")
	status := statuses[cause]
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(int(retryAfter/time.Second)))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(explanation{Outcome: outcome, Cause: cause, Detail: detail})
}

// WriteAnswer sends a kept answer.
func WriteAnswer(w http.ResponseWriter, a carawaycart.Answer) {
	w.Header().Set(OutcomeHeader, string(carawaycart.OutcomeAnswered))
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
