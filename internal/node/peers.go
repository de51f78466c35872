package node

import "github.com/bambooproxy/bambooproxy/internal/wire"

// logPeerPressure logs that connections of peers are closed because of the limits, or no longer.
func (p *Process) logPeerPressure(c wire.Pressure) {
	e := p.Log.Warn()
	if c.Over {
		e = p.Log.Info()
	}
	e.Str("cause", c.Cause).Int64("closed", c.Closed).Bool("over", c.Over).Msg("connections of peers closed because of limits")
}
