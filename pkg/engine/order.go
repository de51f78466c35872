package engine

import (
	"context"

	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// Order is an instruction that changes an engine's model, adapter or role.
type Order interface{ order() }

// LoadModel replaces the model of an engine.
type LoadModel struct {
	Model   string `json:"model" cbor:"1,keyasint"`
	Version string `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
	// Pool is the pool that the engine joins once the model is loaded.
	Pool string `json:"pool,omitempty" cbor:"3,keyasint,omitempty"`
}

// LoadAdapter loads an adapter on top of the engine's model.
type LoadAdapter struct {
	Adapter string `json:"adapter" cbor:"1,keyasint"`
	Version string `json:"version,omitempty" cbor:"2,keyasint,omitempty"`
}

// SetRole changes the engine's role in serving, such as prefill or decode.
type SetRole struct {
	Role string `json:"role" cbor:"1,keyasint"`
}

func (LoadModel) order()   {}
func (LoadAdapter) order() {}
func (SetRole) order()     {}

// Command is the message that carries an Order to an engine. An Order states only the change;
// its Command adds an ID and a fencing token. Exactly one of Load, Adapter and Role is set.
type Command struct {
	// ID identifies the order. An engine executes each ID at most once.
	ID string `json:"id" cbor:"1,keyasint"`
	// Fence is the fencing token. Engines that support fencing reject a token lower than
	// the highest one seen.
	Fence   uint64       `json:"fence" cbor:"2,keyasint"`
	Load    *LoadModel   `json:"load,omitempty" cbor:"3,keyasint,omitempty"`
	Adapter *LoadAdapter `json:"adapter,omitempty" cbor:"4,keyasint,omitempty"`
	Role    *SetRole     `json:"role,omitempty" cbor:"5,keyasint,omitempty"`
}

// Set replaces the order in the command by o.
func (c *Command) Set(o Order) {
	c.Load, c.Adapter, c.Role = nil, nil, nil
	switch o := o.(type) {
	case LoadModel:
		c.Load = &o
	case LoadAdapter:
		c.Adapter = &o
	case SetRole:
		c.Role = &o
	}
}

// Order returns the order in the command, or nil if there is none.
func (c *Command) Order() Order {
	switch {
	case c.Load != nil:
		return *c.Load
	case c.Adapter != nil:
		return *c.Adapter
	case c.Role != nil:
		return *c.Role
	default:
		return nil
	}
}

// Check returns the first invalid field as a *table.FieldError.
func (c *Command) Check() error {
	if c.ID == "" {
		return &table.FieldError{Field: "id", Message: "missing"}
	}
	if c.Order() == nil {
		return &table.FieldError{Field: "load", Message: "one of load, adapter and role is required"}
	}
	return nil
}

// Orderer sends orders to engines.
type Orderer interface {
	// Order sends a command and returns once the engine has executed it.
	Order(ctx context.Context, addr string, c Command) error
}
