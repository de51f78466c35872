package main

import (
	"fmt"
	"net"
	"strconv"
)

// Ports of every process of the site under test.
const (
	callersPort   = 8400
	peersPort     = 8401
	controlPort   = 8402
	directoryPort = 8403
	readyPort     = 8404
	metricsPort   = 8405
	targetPort    = 8406
)

// ownOffset lies between the second numbers of the address that others use for a
// process, on which the proxy listens, and of the one on which the process does.
const ownOffset = 100

// Role is what a process of the site, or one outside it, does.
type Role int

// The roles; their numbers are part of the addresses.
const (
	Control Role = 10
	Entry   Role = 20
	Engine  Role = 30
	Plain   Role = 40
	Outside Role = 50
)

// String returns the name for reports.
func (r Role) String() string {
	switch r {
	case Control:
		return "control"
	case Entry:
		return "entry"
	case Engine:
		return "engine"
	case Plain:
		return "plain"
	default:
		return "outside"
	}
}

// Place is where something runs: number Index of a role.
type Place struct {
	// Net tells soaks on one machine apart.
	Net   int
	Role  Role
	Index int
}

// dataCentres is the number of data centres of the site.
const dataCentres = 3

// Name is unique in the site.
func (p Place) Name() string { return fmt.Sprintf("%s-%d", p.Role, p.Index) }

// DataCentre spreads each role over all of them.
func (p Place) DataCentre() string { return "dc-" + string(rune('a'+p.Index%dataCentres)) }

// Host is the IP that others use: the proxy listens there.
func (p Place) Host() string { return p.host(p.Net) }

// Own is the IP of the process itself.
func (p Place) Own() string { return p.host(p.Net + ownOffset) }

func (p Place) host(network int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, int(p.Role)+p.Index%dataCentres, 1+p.Index/dataCentres)
}

// ownOf is the IP, or the address, of the process that others reach at one.
func ownOf(host string) string {
	var network, rest int
	var tail string
	if n, err := fmt.Sscanf(host, "127.%d.%d.%s", &network, &rest, &tail); err != nil || n != 3 {
		return host
	}
	return fmt.Sprintf("127.%d.%d.%s", network+ownOffset, rest, tail)
}

// At is the address that others use for a port.
func (p Place) At(port int) string { return net.JoinHostPort(p.Host(), strconv.Itoa(port)) }

// OwnAt is the address of the process itself for a port.
func (p Place) OwnAt(port int) string { return net.JoinHostPort(p.Own(), strconv.Itoa(port)) }
