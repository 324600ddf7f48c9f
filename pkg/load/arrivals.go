package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// arrival is one request of the open-loop schedule.
type arrival struct {
	at     time.Duration // time since the start
	class  int
	caller int
}

// arrivalSchedule generates arrivals with exponentially distributed times between them. The seed
// alone determines the schedule.
type arrivalSchedule struct {
	rng     *rand.Rand
	rate    float64 // per second
	classes []class
	callers int
	lastAt  time.Duration
}

func newArrivalSchedule(seed uint64, rate float64, classes []class, callers int) *arrivalSchedule {
	return &arrivalSchedule{rng: rand.New(rand.NewPCG(seed, 3)), rate: rate, classes: classes, callers: callers}
}

func (a *arrivalSchedule) next() arrival {
	a.lastAt += time.Duration(a.rng.ExpFloat64() / a.rate * float64(time.Second))
	return arrival{at: a.lastAt, class: a.pickClass(), caller: a.rng.IntN(a.callers)}
}

func (a *arrivalSchedule) pickClass() int {
	total := 0.0
	for _, c := range a.classes {
		total += c.weight
	}
	x := a.rng.Float64() * total
	for i, c := range a.classes {
		if x -= c.weight; x < 0 {
			return i
		}
	}
	return len(a.classes) - 1
}

// digestedArrivals is the number of arrivals that the digest of a schedule covers.
const digestedArrivals = 10_000

// digest identifies a schedule: equal digests mean that the first arrivals are equal.
func (a *arrivalSchedule) digest() string {
	h := xxhash.New()
	for range digestedArrivals {
		n := a.next()
		var b [24]byte
		binary.BigEndian.PutUint64(b[0:], uint64(n.at))
		binary.BigEndian.PutUint64(b[8:], uint64(n.class))
		binary.BigEndian.PutUint64(b[16:], uint64(n.caller))
		_, _ = h.Write(b[:]) // never fails
	}
	return fmt.Sprintf("%016x", h.Sum64())
}
