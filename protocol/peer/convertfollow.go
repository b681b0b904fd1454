package peer

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FromFollowRequest encodes a question for news.
func FromFollowRequest(r site.FollowRequest) *FollowRequest {
	message := &FollowRequest{Host: r.Host, Positions: make(map[string]uint64), Known: make(map[string]uint64)}
	for table, position := range r.Positions {
		message.Positions[string(table)] = uint64(position)
	}
	for id, sequence := range r.Known {
		message.Known[string(id)] = sequence
	}
	for _, use := range r.Uses {
		message.Uses = append(message.Uses, &Use{
			Server:  string(use.Server),
			Adapter: fromAdapter(use.Adapter, 0),
			Count:   int32(use.Count),
		})
	}
	return message
}

// ToFollowRequest decodes a question for news.
func ToFollowRequest(message *FollowRequest) site.FollowRequest {
	r := site.FollowRequest{
		Host:      message.GetHost(),
		Positions: make(map[site.Table]site.Position),
		Known:     make(map[site.ServerID]uint64),
	}
	for table, position := range message.GetPositions() {
		r.Positions[site.Table(table)] = site.Position(position)
	}
	for id, sequence := range message.GetKnown() {
		r.Known[site.ServerID(id)] = sequence
	}
	for _, use := range message.GetUses() {
		r.Uses = append(r.Uses, site.Use{
			Server:  site.ServerID(use.GetServer()),
			Adapter: toAdapter(use.GetAdapter()),
			Count:   int(use.GetCount()),
		})
	}
	return r
}

// FromFollowReply encodes news.
func FromFollowReply(r site.FollowReply) *FollowReply {
	message := &FollowReply{AgeNanoseconds: int64(r.Age), Leaving: r.Leaving, Ordering: r.Ordering}
	for _, changes := range r.Changes {
		encoded := &Changes{Table: string(changes.Table), Whole: changes.Whole, Upto: uint64(changes.Upto)}
		for _, row := range changes.Rows {
			encoded.Rows = append(encoded.Rows, &Row{Key: row.Key, Value: row.Value, Position: uint64(row.Position), Deleted: row.Deleted})
		}
		message.Changes = append(message.Changes, encoded)
	}
	for _, residency := range r.Residencies {
		encoded := &Residency{Server: fromIncarnation(residency.Server), Epoch: residency.Epoch, Sequence: residency.Sequence}
		for adapter, version := range residency.Adapters {
			encoded.Adapters = append(encoded.Adapters, fromAdapter(adapter, version))
		}
		message.Residencies = append(message.Residencies, encoded)
	}
	return message
}

// ToFollowReply decodes news.
func ToFollowReply(message *FollowReply) site.FollowReply {
	r := site.FollowReply{Age: time.Duration(message.GetAgeNanoseconds()), Leaving: message.GetLeaving(), Ordering: message.GetOrdering()}
	for _, encoded := range message.GetChanges() {
		changes := site.Changes{Table: site.Table(encoded.GetTable()), Whole: encoded.GetWhole(), Upto: site.Position(encoded.GetUpto())}
		for _, row := range encoded.GetRows() {
			changes.Rows = append(changes.Rows, site.Row{
				Key:      row.GetKey(),
				Value:    row.GetValue(),
				Position: site.Position(row.GetPosition()),
				Deleted:  row.GetDeleted(),
			})
		}
		r.Changes = append(r.Changes, changes)
	}
	for _, encoded := range message.GetResidencies() {
		residency := site.Residency{
			Server:   toIncarnation(encoded.GetServer()),
			Epoch:    encoded.GetEpoch(),
			Sequence: encoded.GetSequence(),
			Adapters: make(map[site.Adapter]int),
		}
		for _, adapter := range encoded.GetAdapters() {
			residency.Adapters[toAdapter(adapter)] = int(adapter.GetVersion())
		}
		r.Residencies = append(r.Residencies, residency)
	}
	return r
}

// FromPlaceRequest encodes a demand for an adapter. missing says that the engine
// denied having it.
func FromPlaceRequest(r site.PlaceRequest, missing bool) *PlaceRequest {
	return &PlaceRequest{
		Server:              fromIncarnation(r.Server),
		Adapter:             fromAdapter(r.Adapter, r.Version),
		Priority:            int32(r.Priority),
		PatienceNanoseconds: int64(r.Patience),
		Missing:             missing,
		Tokens:              int32(r.Tokens),
	}
}

// ToPlaceRequest decodes a demand for an adapter.
func ToPlaceRequest(message *PlaceRequest) site.PlaceRequest {
	return site.PlaceRequest{
		Server:   toIncarnation(message.GetServer()),
		Adapter:  toAdapter(message.GetAdapter()),
		Version:  int(message.GetAdapter().GetVersion()),
		Priority: int(message.GetPriority()),
		Tokens:   int(message.GetTokens()),
		Patience: time.Duration(message.GetPatienceNanoseconds()),
	}
}

func fromIncarnation(i site.Incarnation) *Incarnation {
	return &Incarnation{Id: string(i.ID), BornMilliseconds: i.Born}
}

func toIncarnation(message *Incarnation) site.Incarnation {
	return site.Incarnation{ID: site.ServerID(message.GetId()), Born: message.GetBornMilliseconds()}
}

func fromAdapter(a site.Adapter, version int) *Adapter {
	return &Adapter{Model: a.Model, Name: a.Name, Version: int32(version)}
}

func toAdapter(message *Adapter) site.Adapter {
	return site.Adapter{Model: message.GetModel(), Name: message.GetName()}
}
