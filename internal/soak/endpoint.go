package main

import (
	"fmt"
	"net"
	"strconv"
)

// Ports of the processes of the site and of the targets.
const (
	callersPort   = 8400
	peersPort     = 8401
	controlPort   = 8402
	directoryPort = 8403
	readyPort     = 8404
	metricsPort   = 8405
	targetPort    = 8406
)

// processNetOffset is the second octet of a process's own address minus the second octet of
// its address at the proxy.
const processNetOffset = 100

// Role is the role of a process of the site or of something that communicates with it.
type Role int

// The roles. Each value is the base of the third octet of the addresses.
const (
	Control Role = 10
	Entry   Role = 20
	Engine  Role = 30
	Plain   Role = 40
	Outside Role = 50
)

// String returns the name that reports and endpoint names use.
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

// Endpoint identifies a process, a target or a client by role and index. Its name, data
// centre and addresses follow from these.
type Endpoint struct {
	// Net is the second octet of the proxy's addresses.
	Net   int
	Role  Role
	Index int
}

// dataCentreCount is the number of data centres of the site.
const dataCentreCount = 3

// Name returns the name, which is unique in a soak.
func (e Endpoint) Name() string { return fmt.Sprintf("%s-%d", e.Role, e.Index) }

// DataCentre returns the data centre. Each role is spread evenly over all of them.
func (e Endpoint) DataCentre() string { return "dc-" + string(rune('a'+e.Index%dataCentreCount)) }

// ProxyHost returns the IP at which the proxy listens for connections to the endpoint.
func (e Endpoint) ProxyHost() string { return e.host(e.Net) }

// ProcessHost returns the IP of the endpoint itself.
func (e Endpoint) ProcessHost() string { return e.host(e.Net + processNetOffset) }

func (e Endpoint) host(network int) string {
	return fmt.Sprintf("127.%d.%d.%d", network, int(e.Role)+e.Index%dataCentreCount, 1+e.Index/dataCentreCount)
}

// processAddrOf maps an IP, or an address, of the proxy to that of the process behind it.
// It returns anything else unchanged.
func processAddrOf(host string) string {
	var network, rest int
	var tail string
	if n, err := fmt.Sscanf(host, "127.%d.%d.%s", &network, &rest, &tail); err != nil || n != 3 {
		return host
	}
	return fmt.Sprintf("127.%d.%d.%s", network+processNetOffset, rest, tail)
}

// ProxyAddr returns the address at which the proxy listens for a port of the endpoint.
func (e Endpoint) ProxyAddr(port int) string {
	return net.JoinHostPort(e.ProxyHost(), strconv.Itoa(port))
}

// ProcessAddr returns the address of a port of the endpoint itself.
func (e Endpoint) ProcessAddr(port int) string {
	return net.JoinHostPort(e.ProcessHost(), strconv.Itoa(port))
}
