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

// An index has what is derived from one configuration. It is built once for
// each configuration and not modified.
type configurationIndex struct {
	configuration *configuration.Configuration
	// applications by the SHA-256 of their token. Of two applications with the
	// same hash, which operators should not make, the first by name counts.
	applications map[[sha256.Size]byte]credential
	// models returns the encoded list of models; it is encoded on first use.
	models func() []byte
}

// A credential is the hash of an application's token.
type credential struct {
	hash        [sha256.Size]byte
	application configuration.Application
}

func newIndex(current *configuration.Configuration) *configurationIndex {
	x := &configurationIndex{
		configuration: current,
		applications:  make(map[[sha256.Size]byte]credential, len(current.Applications)),
	}
	for _, name := range slices.Sorted(maps.Keys(current.Applications)) {
		application := current.Applications[name]
		decoded, err := hex.DecodeString(application.TokenHash)
		if err != nil || len(decoded) != sha256.Size {
			// No token has this hash, so the application cannot call.
			continue
		}
		hash := [sha256.Size]byte(decoded)
		if _, taken := x.applications[hash]; !taken {
			x.applications[hash] = credential{hash: hash, application: application}
		}
	}
	x.models = sync.OnceValue(func() []byte { return encodeModels(current) })
	return x
}

// application returns the application with the given token.
func (x *configurationIndex) application(token string) (configuration.Application, bool) {
	hash := sha256.Sum256([]byte(token))
	found, ok := x.applications[hash]
	if !ok || subtle.ConstantTimeCompare(found.hash[:], hash[:]) != 1 {
		return configuration.Application{}, false
	}
	return found.application, true
}

// adapter returns the exact version that a reference means.
func (x *configurationIndex) adapter(reference fleet.AdapterReference) (fleet.AdapterReference, bool) {
	adapter, ok := x.configuration.Adapters[reference.Name]
	if !ok {
		return fleet.AdapterReference{}, false
	}
	if reference.Version == 0 {
		reference.Version = adapter.Current
	}
	return reference, slices.Contains(adapter.Versions, reference.Version)
}

func encodeModels(current *configuration.Configuration) []byte {
	list := chat.ModelList{Object: chat.ObjectList, Data: make([]chat.Model, 0, len(current.Adapters))}
	for _, name := range slices.Sorted(maps.Keys(current.Adapters)) {
		for _, version := range current.Adapters[name].Versions {
			list.Data = append(list.Data, chat.NewModel(fleet.AdapterReference{Name: name, Version: version}.String()))
		}
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		// Strings and integers always encode.
		panic(err)
	}
	return encoded
}

// current returns the index of the configuration in force, or nil.
func (s *Server) current() *configurationIndex {
	now := s.Configuration.Current()
	if now == nil {
		return nil
	}
	if x := s.index.Load(); x != nil && x.configuration == now {
		return x
	}
	x := newIndex(now)
	s.index.Store(x)
	return x
}
