package link

import (
	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/poison"
)

const (
	// maxNameBytes bounds the names and addresses in messages to control instances, and maxIDBytes the IDs of
	// requests, which contain the name of an instance.
	maxNameBytes = 256
	maxIDBytes   = 512
)

// Check rejects messages with names, IDs or segments of sizes that no instance sends.
func (m *FollowerMessage) Check() error {
	if h := m.Hello; h != nil {
		if err := checkNames("name in hello", h.Name, h.PeerAddr, h.DataCentre); err != nil {
			return err
		}
	}
	for _, e := range m.Entries {
		if err := checkNames("name of ready instance", e.Name, e.DataCentre, e.Address); err != nil {
			return err
		}
	}
	for i := range m.Requests {
		if err := checkID(m.Requests[i].ID); err != nil {
			return err
		}
	}
	for i := range m.ActiveGrants {
		if err := checkID(m.ActiveGrants[i].Request.ID); err != nil {
			return err
		}
	}
	return m.checkReports()
}

// checkReports checks the reports on crashes.
func (m *FollowerMessage) checkReports() error {
	for _, b := range m.Blocks {
		if err := poison.CheckSegments(b.Segments); err != nil {
			return errors.Wrap(err, "block")
		}
	}
	for _, s := range m.Survivals {
		if err := poison.CheckSegments(s.Segments); err != nil {
			return errors.Wrap(err, "survival")
		}
	}
	for _, c := range m.Crashes {
		if err := checkNames("target of crash", c.Target); err != nil {
			return err
		}
		for _, s := range c.Suspects {
			if err := poison.CheckSegments(s); err != nil {
				return errors.Wrap(err, "crash")
			}
		}
	}
	return nil
}

func checkNames(what string, names ...string) error {
	for _, n := range names {
		if len(n) > maxNameBytes {
			return errors.Newf("%s: %d bytes", what, len(n))
		}
	}
	return nil
}

func checkID(id string) error {
	if len(id) > maxIDBytes {
		return errors.Newf("ID of request: %d bytes", len(id))
	}
	return nil
}
