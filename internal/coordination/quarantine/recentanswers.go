package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

const (
	// recentUse is the time for which an answer says that its traits are in use.
	recentUse = time.Minute
	// maxEarlierAnswers is the number of earlier answers that are told of the request on an
	// engine that ended: for example one with its adapter and one with the parts of its prompt.
	maxEarlierAnswers = 3
)

// recentAnswers has the last answers of this host. It is safe for concurrent use.
type recentAnswers struct {
	mutex sync.Mutex
	list  answerList
}

// add adds an answer. The traits are not modified later.
func (r *recentAnswers) add(a answer) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.list.add(a)
}

// withTraitsOf returns earlier answers to requests that share traits with the given request,
// each with sorted traits of the request only. The first one shares the most; each later one
// has traits that those before it lack.
func (r *recentAnswers) withTraitsOf(service site.ServiceName, traits []string, now time.Time) []answer {
	traits = sortedTraits(traits)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var found []answer
	missing := traits
	for range maxEarlierAnswers {
		best, count := answer{}, 0
		for _, a := range r.list.answers {
			if a.service != service || now.Sub(a.at) >= recentUse {
				continue
			}
			shared := countShared(a.traits, missing)
			if shared > count || shared == count && shared > 0 && a.at.After(best.at) {
				best, count = a, shared
			}
		}
		if count == 0 {
			break
		}
		isShared := func(trait string) bool { return slices.Contains(best.traits, trait) }
		isMissing := func(trait string) bool { return !isShared(trait) }
		found = append(found, answer{service: service, traits: slices.DeleteFunc(slices.Clone(traits), isMissing), at: best.at})
		missing = slices.DeleteFunc(slices.Clone(missing), isShared)
	}
	return found
}

// countShared returns the number of traits that are among the sorted ones.
func countShared(traits, sorted []string) int {
	count := 0
	for _, trait := range traits {
		if _, found := slices.BinarySearch(sorted, trait); found {
			count++
		}
	}
	return count
}
