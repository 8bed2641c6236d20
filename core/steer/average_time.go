package steer

import (
	"math"
	"time"
)

// averageHalfLife is the half-life of the weight of an answer time. Thus an endpoint that
// was slow is tried again.
const averageHalfLife = 2 * time.Second

// priorAnswers is the number of answers with the mean time of the service that an endpoint is
// assumed to have given besides those that were seen, since single requests vary widely.
const priorAnswers = 2

// averageTime is a decaying average of times. The zero value has none.
type averageTime struct {
	sum       time.Duration
	count     float64
	updatedAt time.Time
}

// decay reduces the weight of the recorded times to that at now.
func (a *averageTime) decay(now time.Time) {
	if a.count > 0 {
		factor := math.Exp2(-float64(now.Sub(a.updatedAt)) / float64(averageHalfLife))
		a.sum, a.count = time.Duration(float64(a.sum)*factor), a.count*factor
	}
	a.updatedAt = now
}

// record adds a time at now.
func (a *averageTime) record(took time.Duration, now time.Time) {
	a.decay(now)
	a.sum += took
	a.count++
}

// relativeTo returns the average at now as a multiple of mean, or zero if mean is.
func (a *averageTime) relativeTo(mean time.Duration, now time.Time) float64 {
	if mean <= 0 {
		return 0
	}
	a.decay(now)
	return (float64(a.sum)/float64(mean) + priorAnswers) / (a.count + priorAnswers)
}

// mean returns the average at now, or zero if there is none.
func (a *averageTime) mean(now time.Time) time.Duration {
	a.decay(now)
	if a.count == 0 {
		return 0
	}
	return time.Duration(float64(a.sum) / a.count)
}
