package table

import (
	"testing"

	"pgregory.net/rapid"
)

// TestVersionsOfLaterErasAreHigher guards against a transaction of a history that the store has
// lost being taken for newer than one that it has.
func TestVersionsOfLaterErasAreHigher(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		draw := func(name string) (Era, uint64, Version) {
			era := Era(rapid.Uint64Range(0, MaxEra).Draw(r, name+" era"))
			transaction := rapid.Uint64Range(0, MaxTransaction).Draw(r, name+" transaction")
			return era, transaction, NewVersion(era, transaction)
		}
		era, transaction, version := draw("first")
		otherEra, otherTransaction, other := draw("second")
		if version.Era() != era || version.Transaction() != transaction {
			r.Fatalf("version %d has era %d and transaction %d", version, version.Era(), version.Transaction())
		}
		want := era < otherEra || era == otherEra && transaction < otherTransaction
		if got := version < other; got != want {
			r.Fatalf("(%d, %d) before (%d, %d): got %t", era, transaction, otherEra, otherTransaction, got)
		}
	})
}
