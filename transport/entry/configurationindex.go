package entry

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"github.com/persimmonmux/persimmonmux/protocol/chat"
	"github.com/persimmonmux/persimmonmux/state/configuration"
	"github.com/persimmonmux/persimmonmux/state/fleet"
)

// A configurationIndex holds lookup tables derived from one configuration. It is
// built once for each configuration and not modified.
type configurationIndex struct {
	configuration *configuration.Configuration
	// applications are keyed by the SHA-256 of their token. If two applications
	// have the same hash, which is a mistake of operators, the first by name is used.
	applications map[[sha256.Size]byte]credential
	// models returns the JSON body of GET /v1/models; it is encoded on first use.
	models func() []byte
}

// A credential is an application with the SHA-256 of its token.
type credential struct {
	hash        [sha256.Size]byte
	application configuration.Application
}

// newIndex derives the index of a configuration.
func newIndex(current *configuration.Configuration) *configurationIndex {
	index := &configurationIndex{
		configuration: current,
		applications:  make(map[[sha256.Size]byte]credential, len(current.Applications)),
	}
	for _, name := range slices.Sorted(maps.Keys(current.Applications)) {
		application := current.Applications[name]
		decoded, err := hex.DecodeString(application.TokenHash)
		if err != nil || len(decoded) != sha256.Size {
			// No token can match a malformed hash, so the application cannot
			// authenticate.
			continue
		}
		hash := [sha256.Size]byte(decoded)
		if _, taken := index.applications[hash]; !taken {
			index.applications[hash] = credential{hash: hash, application: application}
		}
	}
	index.models = sync.OnceValue(func() []byte { return encodeModels(current) })
	return index
}

// applicationByToken returns the application that has the given bearer token.
func (index *configurationIndex) applicationByToken(token string) (configuration.Application, bool) {
	hash := sha256.Sum256([]byte(token))
	found, ok := index.applications[hash]
	if !ok || subtle.ConstantTimeCompare(found.hash[:], hash[:]) != 1 {
		return configuration.Application{}, false
	}
	return found.application, true
}

// resolveAdapter returns the reference with its version; version 0 becomes the
// current version. It returns false if the adapter or the version does not exist.
func (index *configurationIndex) resolveAdapter(reference fleet.AdapterReference) (fleet.AdapterReference, bool) {
	adapter, ok := index.configuration.Adapters[reference.Name]
	if !ok {
		return fleet.AdapterReference{}, false
	}
	if reference.Version == 0 {
		reference.Version = adapter.Current
	}
	return reference, slices.Contains(adapter.Versions, reference.Version)
}

// encodeModels returns the JSON body of GET /v1/models.
func encodeModels(current *configuration.Configuration) []byte {
	list := chat.ModelList{Object: chat.ObjectList, Data: make([]chat.Model, 0, len(current.Adapters))}
	for _, name := range slices.Sorted(maps.Keys(current.Adapters)) {
		for _, version := range current.Adapters[name].Versions {
			list.Data = append(list.Data, chat.NewModel(fleet.AdapterReference{Name: name, Version: version}.String()))
		}
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		// This cannot happen: a list of strings and integers always encodes.
		panic(err)
	}
	return encoded
}

// currentIndex returns the index of the applied configuration, or nil if there is
// no configuration yet.
func (s *Server) currentIndex() *configurationIndex {
	now := s.Configuration.Current()
	if now == nil {
		return nil
	}
	if index := s.index.Load(); index != nil && index.configuration == now {
		return index
	}
	index := newIndex(now)
	s.index.Store(index)
	return index
}
