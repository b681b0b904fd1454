package quarantine

import (
	"iter"
	"slices"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A suspectIndex has the sets of traits that the suspect requests of ends are judged by.
type suspectIndex struct {
	// newest has the time of the newest end of each set.
	newest map[traitSet]time.Time
	// partners has, by the first trait of the pairs in newest, their second traits.
	partners map[traitSet][]string
}

// newSuspectIndex returns an index without sets.
func newSuspectIndex() *suspectIndex {
	return &suspectIndex{newest: make(map[traitSet]time.Time), partners: make(map[traitSet][]string)}
}

// add adds a set that is suspect since an end at the given time.
func (x *suspectIndex) add(set traitSet, at time.Time) {
	known, ok := x.newest[set]
	if !ok && set.size() > 1 {
		first := set.single()
		x.partners[first] = append(x.partners[first], set.second)
	}
	if !ok || at.After(known) {
		x.newest[set] = at
	}
}

// within yields those sets whose traits are all among the sorted ones, with the times of their
// newest ends. Whatever a request is judged by is therefore found for each answer to a request
// with these traits, whichever other ones it has.
func (x *suspectIndex) within(service site.ServiceName, traits []string) iter.Seq2[traitSet, time.Time] {
	return func(yield func(traitSet, time.Time) bool) {
		for _, trait := range traits {
			single := traitSet{service: service, first: trait}
			if at, ok := x.newest[single]; ok && !yield(single, at) {
				return
			}
			for _, second := range x.partners[single] {
				if _, found := slices.BinarySearch(traits, second); !found {
					continue
				}
				pair := traitSet{service: service, first: trait, second: second}
				if !yield(pair, x.newest[pair]) {
					return
				}
			}
		}
	}
}
