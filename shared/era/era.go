// Package era joins the versions of a store with the number of times that the store was restored from a backup.
//
// A restored store assigns versions again that it had assigned before, so a version says nothing without its era. Joined versions are
// compared by era first. In era 0 a joined version equals the store's own.
package era

import "fmt"

// Era is the number of times that a store was restored from a backup.
type Era int

// Max is the highest era. Epochs and joined versions of higher ones would overflow.
const Max Era = 1<<20 - 1

const (
	// versionBits are the bits of a joined version below its era: enough for a thousand transactions a second over 30 years.
	versionBits = 40
	// epochBits are the bits of an epoch below its era.
	epochBits = 32
)

// MaxVersion is the highest version of a store that can be joined with an era above 0.
const MaxVersion = 1<<versionBits - 1

// Join returns a version of an era. Version 0, which stands for a row that does not exist, is the same in all eras.
func Join(e Era, version int) int {
	if version == 0 {
		return 0
	}
	return Position(e, version)
}

// Position returns the joined version of a whole store, which may be 0 within its era.
func Position(e Era, version int) int {
	return int(e)<<versionBits | version
}

// Of returns the era of a joined version.
func Of(joined int) Era {
	return Era(joined >> versionBits)
}

// Number returns the store's own version of a joined one.
func Number(joined int) int {
	return joined & MaxVersion
}

// Check returns an error unless a version can be joined with an era.
func Check(e Era, version int) error {
	if e > 0 && (version < 0 || version > MaxVersion) {
		return fmt.Errorf("version %d is out of bounds", version)
	}
	return nil
}

// FirstEpoch returns the epoch that is below all epochs of an era and not below those of earlier eras.
func FirstEpoch(e Era) int {
	return int(e) << epochBits
}

// OfEpoch returns the era of an epoch.
func OfEpoch(epoch int) Era {
	return Era(epoch >> epochBits)
}
