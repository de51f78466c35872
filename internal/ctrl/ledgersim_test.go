package ctrl

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// simSeeds is the number of random schedules, simSteps the steps of each.
	simSeeds, simSteps = 2000, 120
	// simCheckEvery is the number of steps between two checks.
	simCheckEvery = 10
	// simKeys is the number of idempotency keys, simHosts that of entries.
	simKeys, simHosts = 3, 3
)

// phase is the state of an attempt at its entry.
type phase int

const (
	// beginning: the entry has sent Begin and has no reply.
	beginning phase = iota
	// won: the attempt may run.
	won
	// ran: the target has run the call; the outcome is not reported.
	ran
	// done: the attempt does nothing more.
	done
)

// attempt is an attempt at a call by one entry process.
type attempt struct {
	call  ledger.Call
	phase phase
}

// ledgerSim simulates entries, the network and a target around the state machine.
type ledgerSim struct {
	r *rand.Rand
	m *Machine
	// twoWinners makes a second attempt win while the first is open.
	twoWinners bool
	// alive holds the incarnation of each host, 0 if it is down.
	alive [simHosts]uint64
	// lastID is the last number given to a process or an attempt.
	lastID uint64
	// dead are killed processes that the control plane has not removed.
	dead     []member.Process
	attempts []*attempt
	// commands and replies are in flight. Each may be lost; commands may arrive twice.
	commands []Command
	replies  []reply
	// runs counts the runs at the target for each key.
	runs map[string]int
}

// reply is the reply to the Begin of an attempt.
type reply struct {
	attempt string
	begun   ledger.CallStatus
}

func newLedgerSim(seed uint64, twoWinners bool) *ledgerSim {
	s := &ledgerSim{r: rand.New(rand.NewPCG(seed, 1)), m: &Machine{}, twoWinners: twoWinners, runs: make(map[string]int)}
	for h := range s.alive {
		s.startProcess(h)
	}
	return s
}

func (s *ledgerSim) apply(c Command) Result {
	b, err := encode(0, c)
	if err != nil {
		panic(err)
	}
	r, err := decodeResult(s.m.Apply(0, b))
	if err != nil {
		panic(err)
	}
	return r
}

func (s *ledgerSim) startProcess(h int) {
	s.lastID++
	s.alive[h] = s.lastID
	s.apply(Join{Member: member.Member{Name: fmt.Sprint("e", h), Incarnation: s.lastID, State: member.Serving}})
}

func (s *ledgerSim) step() {
	switch s.r.IntN(12) {
	case 0, 1:
		s.sendCall()
	case 2:
		s.killProcess()
	case 3:
		s.replaceDead()
	case 4:
		s.changeLeader()
	case 5, 6, 7:
		s.deliverCommand()
	case 8, 9:
		s.deliverReply()
	default:
		s.advanceAttempt()
	}
}

// sendCall makes a caller send a call, or send it again, through a random entry.
func (s *ledgerSim) sendCall() {
	h := s.r.IntN(simHosts)
	if s.alive[h] == 0 {
		return
	}
	s.lastID++
	a := &attempt{call: ledger.Call{
		Organisation: "o", Key: fmt.Sprint("k", s.r.IntN(simKeys)), Attempt: fmt.Sprint("a", s.lastID),
		Entry: fmt.Sprint("e", h), Incarnation: s.alive[h],
	}}
	s.attempts = append(s.attempts, a)
	s.commands = append(s.commands, Begin{Call: a.call})
}

// killProcess stops a random process with all its attempts.
func (s *ledgerSim) killProcess() {
	h := s.r.IntN(simHosts)
	if s.alive[h] == 0 {
		return
	}
	p := member.Process{Name: fmt.Sprint("e", h), Incarnation: s.alive[h]}
	s.alive[h] = 0
	s.dead = append(s.dead, p)
	for _, a := range s.attempts {
		if a.call.Entry == p.Name && a.call.Incarnation == p.Incarnation {
			a.phase = done
		}
	}
}

// replaceDead removes the process that was killed first and starts its successor.
func (s *ledgerSim) replaceDead() {
	if len(s.dead) == 0 {
		return
	}
	p := s.dead[0]
	s.dead = s.dead[1:]
	s.apply(Drop{Processes: []member.Process{p}})
	var h int
	fmt.Sscanf(p.Name, "e%d", &h)
	s.startProcess(h)
}

func (s *ledgerSim) changeLeader() {
	b, err := s.m.Snapshot()
	if err != nil {
		panic(err)
	}
	next := &Machine{}
	if err := next.Restore(b); err != nil {
		panic(err)
	}
	s.m = next
}

// deliverCommand delivers a command to the control plane once, loses it, or delivers it
// now and keeps a copy in flight.
func (s *ledgerSim) deliverCommand() {
	if len(s.commands) == 0 {
		return
	}
	i := s.r.IntN(len(s.commands))
	c := s.commands[i]
	delivery := s.r.IntN(4)
	if delivery != 0 {
		s.commands = append(s.commands[:i], s.commands[i+1:]...)
	}
	if delivery == 1 {
		return
	}
	r := s.apply(c)
	if b, ok := c.(Begin); ok && r.CallStatus != nil {
		if s.twoWinners && r.CallStatus.State == ledger.InProgress {
			r.CallStatus.State = ledger.Acquired
		}
		s.replies = append(s.replies, reply{attempt: b.Call.Attempt, begun: *r.CallStatus})
	}
}

// deliverReply delivers a reply to its attempt, or loses it.
func (s *ledgerSim) deliverReply() {
	if len(s.replies) == 0 {
		return
	}
	i := s.r.IntN(len(s.replies))
	rep := s.replies[i]
	s.replies = append(s.replies[:i], s.replies[i+1:]...)
	for _, a := range s.attempts {
		if a.call.Attempt != rep.attempt || a.phase != beginning || s.r.IntN(4) == 0 {
			continue
		}
		a.phase = done
		if rep.begun.State == ledger.Acquired {
			a.phase = won
		}
	}
}

// advanceAttempt makes a random attempt take its next step.
func (s *ledgerSim) advanceAttempt() {
	if len(s.attempts) == 0 {
		return
	}
	a := s.attempts[s.r.IntN(len(s.attempts))]
	switch a.phase {
	case beginning:
		// Without a reply the attempt retries or gives up.
		if s.r.IntN(3) > 0 {
			s.commands = append(s.commands, Begin{Call: a.call})
			return
		}
		a.phase = done
		s.commands = append(s.commands, End{Call: a.call, Verdict: verd.NotRun})
	case won:
		s.runs[a.call.Key]++
		a.phase = ran
	case ran:
		a.phase = done
		s.commands = append(s.commands, End{Call: a.call, Verdict: verd.Ran, Response: &ledger.Response{Status: 200}})
	case done:
	}
}

// violation describes a difference between the runs at the target and the ledger, or
// returns "" if there is none.
func (s *ledgerSim) violation() string {
	for k := range simKeys {
		key := fmt.Sprint("k", k)
		if s.runs[key] > 1 {
			return fmt.Sprintf("%s ran %d times", key, s.runs[key])
		}
		b, found, _ := s.m.LookupCall(&ledger.Call{Organisation: "o", Key: key})
		if s.runs[key] == 1 && !found {
			return key + " ran but the ledger has no record of it"
		}
		if s.runs[key] == 0 && found && b.State == ledger.Completed && b.Verdict == verd.Ran {
			return key + " did not run but the ledger records it as run"
		}
	}
	return ""
}

// runSchedule runs one random schedule and returns the first violation, or "".
func runSchedule(seed uint64, twoWinners bool) string {
	s := newLedgerSim(seed, twoWinners)
	for i := range simSteps {
		s.step()
		if i%simCheckEvery != 0 {
			continue
		}
		if v := s.violation(); v != "" {
			return v
		}
	}
	return s.violation()
}

// TestAtMostOnce guards against a call with an idempotency key that runs twice. It kills
// processes between any two steps, loses and duplicates messages, changes leaders, and
// repeats calls through other entries.
func TestAtMostOnce(t *testing.T) {
	for seed := range uint64(simSeeds) {
		if v := runSchedule(seed, false); v != "" {
			t.Fatalf("seed %d: %s", seed, v)
		}
	}
}

// TestAtMostOnceCheckFindsTwoWinners guards against a check that finds nothing: it must
// detect a ledger that lets a second attempt win while the first is open.
func TestAtMostOnceCheckFindsTwoWinners(t *testing.T) {
	found := 0
	for seed := range uint64(200) {
		if runSchedule(seed, true) != "" {
			found++
		}
	}
	quicktest.Check(t, found > 0, quicktest.IsTrue)
}
