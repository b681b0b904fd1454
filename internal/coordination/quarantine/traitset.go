package quarantine

import (
	"cmp"
	"iter"
	"slices"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// A traitSet is one trait of the requests to a service, or a pair of them. A pair may
// crash engines although each of its traits is also in sound requests: a part of a prompt
// with one adapter, for example.
type traitSet struct {
	service site.ServiceName
	// first is less than second. second is empty for a single trait.
	first, second string
}

// size returns the number of traits in the set.
func (s traitSet) size() int {
	if s.second == "" {
		return 1
	}
	return 2
}

// single returns the set of the first trait alone.
func (s traitSet) single() traitSet {
	return traitSet{service: s.service, first: s.first}
}

// traits returns the traits in the set.
func (s traitSet) traits() []string {
	return []string{s.first, s.second}[:s.size()]
}

// compare orders sets by their service and traits.
func (s traitSet) compare(other traitSet) int {
	return cmp.Or(cmp.Compare(s.service, other.service), cmp.Compare(s.first, other.first), cmp.Compare(s.second, other.second))
}

// union returns the set and the sorted traits together, sorted. It returns the traits
// themselves if they have the set.
func (s traitSet) union(traits []string) []string {
	all := slices.Clip(traits)
	for _, trait := range s.traits() {
		if place, found := slices.BinarySearch(all, trait); !found {
			all = slices.Insert(all, place, trait)
		}
	}
	return all
}

// maxPairedTraits bounds the traits of one request that are judged in pairs with each other.
const maxPairedTraits = 8

// traitSets yields the sets that a suspect request with the sorted traits is judged by: each
// trait, the pairs of the first one with each other one, and the pairs of the first
// maxPairedTraits. The first one is the adapter, if the request names one.
func traitSets(service site.ServiceName, traits []string) iter.Seq[traitSet] {
	return func(yield func(traitSet) bool) {
		for i, first := range traits {
			if !yield(traitSet{service: service, first: first}) {
				return
			}
			paired := len(traits)
			if i > 0 {
				paired = min(len(traits), maxPairedTraits)
			}
			for _, second := range traits[min(i+1, paired):paired] {
				if !yield(traitSet{service: service, first: first, second: second}) {
					return
				}
			}
		}
	}
}
