package replication

import (
	"fmt"

	"cowslipshunt.example/serving/roster"
	"cowslipshunt.example/wire"
)

// Update is a part of the history of one table, which a reader of the table passes on. Changes are all changes after the version After
// up to Version, in the order of their versions. An update without changes says that there were none.
type Update struct {
	_       struct{} `cbor:",toarray"`
	Table   string
	After   Version
	Version Version
	// Newest is the version up to which the reader has read the table. It is above Version if further updates complete this one.
	Newest  Version
	Changes []Change
}

// Check returns an error unless a reader may have sent the update: its versions have to be in order, and its listings usable.
func (u *Update) Check() error {
	if u.After < 0 || u.Version < u.After || u.Newest < u.Version {
		return fmt.Errorf("the update from version %d to %d of %d is not in order", u.After, u.Version, u.Newest)
	}
	for i := range u.Changes {
		c := &u.Changes[i]
		if c.Version <= u.After || c.Version > u.Version {
			return fmt.Errorf("the change of version %d is not between %d and %d", c.Version, u.After, u.Version)
		}
		if entry := c.Entry(); entry != nil {
			if err := entry.Check(); err != nil {
				return fmt.Errorf("endpoint %.64q: %w", c.ID, err)
			}
		}
	}
	return nil
}

// Change is the change of the listing of one endpoint.
type Change struct {
	_       struct{} `cbor:",toarray"`
	Version Version
	ID      wire.EndpointId
	// Listing is nil if the endpoint is no longer listed.
	Listing *Listing
}

// Listing has the fields of a roster.Entry without its id, in a short encoding.
type Listing struct {
	_       struct{} `cbor:",toarray"`
	Born    int64
	Service wire.ServiceName
	Address string
	Domain  wire.DomainName
	Slots   int
	Stage   roster.Stage
	Leaving bool
	Spot    bool
}

// NewChange returns the change to an entry, or, if the entry is nil, the change that an endpoint is no longer listed.
func NewChange(v Version, id wire.EndpointId, e *roster.Entry) Change {
	c := Change{Version: v, ID: id}
	if e != nil {
		c.Listing = &Listing{
			Born: e.Born, Service: e.Service, Address: e.Address, Domain: e.Domain, Slots: e.Slots, Stage: e.Stage,
			Leaving: e.Leaving, Spot: e.Spot,
		}
	}
	return c
}

// Entry returns the entry that a change lists, or nil if the endpoint is no longer listed.
func (c *Change) Entry() *roster.Entry {
	l := c.Listing
	if l == nil {
		return nil
	}
	return &roster.Entry{
		Key: roster.Key{ID: c.ID, Born: l.Born}, Service: l.Service, Address: l.Address, Domain: l.Domain, Slots: l.Slots, Stage: l.Stage,
		Leaving: l.Leaving, Spot: l.Spot,
	}
}
