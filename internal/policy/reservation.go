package policy

import (
	"cmp"
	"slices"
	"time"
)

// reservationSlack is a fraction of a time limit: targets are reserved for a request of
// the Huge band once it has no more than this left until its grant deadline.
const reservationSlack = 0.3

// reservation keeps targets for one request of the Huge band that fits nowhere yet, so
// that smaller requests don't starve it. Only requests of the Short band may still use
// the targets.
type reservation struct {
	request *queuedRequest
	targets []*target
}

// reserveTargets reserves the targets with the most free memory for a request. Only one
// request has a reservation at a time.
func (c *Core) reserveTargets(now time.Time, r *queuedRequest) {
	if c.reservation != nil || !c.enabled(Reservation) || r.band < Huge || r.grantDeadline.Sub(now) > scale(r.deadline.Sub(r.arrived), reservationSlack) {
		return
	}
	tokens := r.req.Prompt + r.req.Output
	k := max((tokens+c.fleet.maxMemory-1)/c.fleet.maxMemory, 1)
	share := (tokens + k - 1) / k
	var candidates []*target
	for _, t := range c.fleet.active {
		if t.Memory >= share && !slices.Contains(r.req.Avoid, t.Name) {
			candidates = append(candidates, t)
		}
	}
	if len(candidates) < k {
		return
	}
	slices.SortFunc(candidates, func(a, b *target) int {
		return cmp.Or(-cmp.Compare(a.freeTokens(), b.freeTokens()), compareNames(a, b))
	})
	c.reservation = &reservation{request: r, targets: candidates[:k]}
	for _, t := range c.reservation.targets {
		t.reservedFor = r
	}
}

// clearReservation ends the reservation of a request, if it has one.
func (c *Core) clearReservation(r *queuedRequest) {
	if c.reservation == nil || c.reservation.request != r {
		return
	}
	for _, t := range c.reservation.targets {
		t.reservedFor = nil
	}
	c.reservation = nil
}

// cancelReservationOn ends the reservation that includes a target, so that other targets
// can be reserved.
func (c *Core) cancelReservationOn(t *target) {
	if t.reservedFor != nil {
		c.clearReservation(t.reservedFor)
	}
}
