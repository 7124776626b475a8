package roster

import (
	"slices"
	"sync/atomic"
)

// maxRemembered is how many incarnations that are not listed are remembered with what they asked of this instance.
const maxRemembered = 1024

// restrictions are what one incarnation of an endpoint has asked of this instance. They outlive its listing: an entry may disappear and
// return, and answers arrive after it has disappeared.
type restrictions struct {
	// leaving is set once the endpoint has said in an answer to this instance or to a peer that it leaves. It is never reset.
	leaving atomic.Bool
	// toldHere is set if it said so in an answer to this instance.
	toldHere atomic.Bool
	// pause is the pause that the endpoint has asked this instance for.
	pause requestedPause
	// listed is set once the incarnation has been listed. It is guarded by the directory's mutex.
	listed bool
	// malformed is set once the endpoint has asked for a pause in a form that has no meaning.
	malformed atomic.Bool
}

// remembered are the restrictions of an incarnation that is not listed.
type remembered struct {
	key          Key
	restrictions *restrictions
}

// remember keeps the restrictions of an incarnation that is not listed. The oldest are forgotten beyond maxRemembered.
func (d *Directory) remember(k Key, r *restrictions) {
	d.unlisted = append(d.unlisted, remembered{key: k, restrictions: r})
	if len(d.unlisted) > maxRemembered {
		d.unlisted = slices.Delete(d.unlisted, 0, len(d.unlisted)-maxRemembered)
	}
}

// restrict returns the restrictions of an incarnation that is listed from now on. If it is new, it may have answered requests that were sent
// to an earlier one under its id, and may have asked for a pause in these answers.
func (d *Directory) restrict(k Key) *restrictions {
	r := d.recall(k)
	if r.listed {
		return r
	}
	r.listed = true
	for _, earlier := range d.unlisted {
		if earlier.key.ID == k.ID && earlier.key.Born < k.Born {
			r.pause.inherit(&earlier.restrictions.pause, k.Born)
		}
	}
	return r
}

// recall takes the restrictions of an incarnation out of those that are remembered. They are empty if there are none.
func (d *Directory) recall(k Key) *restrictions {
	i := slices.IndexFunc(d.unlisted, func(r remembered) bool { return r.key == k })
	if i < 0 {
		return &restrictions{}
	}
	r := d.unlisted[i].restrictions
	d.unlisted = slices.Delete(d.unlisted, i, i+1)
	return r
}

// MarkLeaving records that an incarnation of an endpoint has told a peer that it leaves, and reports whether that is new. The incarnation
// need not be listed here yet.
func (d *Directory) MarkLeaving(k Key) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, known := d.endpoints[k.ID]; known && e.Entry().Key == k {
		return !e.restrictions.leaving.Swap(true)
	}
	r := d.recall(k)
	d.remember(k, r)
	return !r.leaving.Swap(true)
}

// MarkLeaving records that the endpoint said in an answer that it leaves, and reports whether that is new. No entry of the platform takes
// this back for the same incarnation, as entries may be old.
func (e *Endpoint) MarkLeaving() bool {
	e.restrictions.toldHere.Store(true)
	return !e.restrictions.leaving.Swap(true)
}

// Leaving reports whether the endpoint accepts no new requests because it leaves, as the platform lists or as it has said itself.
func (e *Endpoint) Leaving() bool {
	return e.Entry().Leaving || e.restrictions.leaving.Load()
}

// ToldLeaving reports whether the endpoint said in an answer to this instance that it leaves.
func (e *Endpoint) ToldLeaving() bool {
	return e.restrictions.toldHere.Load()
}
