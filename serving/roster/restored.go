package roster

import "slices"

// Supersedes reports whether what is known of an endpoint is at least as new as an entry of a store that was restored to an older state:
// the same incarnation or a later one is listed, or the incarnation was listed and removed.
func (d *Directory) Supersedes(entry Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, known := d.endpoints[entry.ID]; known && e.Entry().Born >= entry.Born {
		return true
	}
	return slices.ContainsFunc(d.unlisted, func(r remembered) bool {
		return r.key.ID == entry.ID && r.key.Born >= entry.Born && r.restrictions.listed
	})
}
