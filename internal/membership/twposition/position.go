// Package twposition orders the states of a store that may continue from a copy of an earlier time. It is pure
// arithmetic; watches, views, peers and the lease compare states by it.
package twposition

import "fmt"

const (
	// versionsPerEra is a power of ten, so that a position shows era and version to an operator.
	versionsPerEra = 1_000_000_000_000
	// maxEra keeps a position exact in decoders that read numbers as 64-bit floats.
	maxEra = 9000
)

// Position is a version of the store together with its era, as one number that never falls: the era in which the
// version was given out counts first. In an era the store's versions increase. With the next era it continues from a
// copy, and gives out some versions again.
//
// Before the first era a position equals its version, so that a store without eras needs no special case. A zero
// Position precedes all others.
type Position int64

// New returns the position of a version in an era. It returns an error if either is out of range.
func New(era, version int64) (Position, error) {
	if era < 0 || era > maxEra {
		return 0, fmt.Errorf("era %d is not between 0 and %d; check the store", era, maxEra)
	}
	if version < 0 || version >= versionsPerEra {
		return 0, fmt.Errorf("version %d is not between 0 and %d; check the store", version, int64(versionsPerEra)-1)
	}
	return Position(era*versionsPerEra + version), nil
}

// Era returns the store's era.
func (p Position) Era() int64 { return int64(p) / versionsPerEra }

// Version returns the store's version, which is unique in its era only.
func (p Position) Version() int64 { return int64(p) % versionsPerEra }
