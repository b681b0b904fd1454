package peer

import (
	"math"
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FromFollowRequest converts a follow request to its message.
func FromFollowRequest(r site.FollowRequest) *FollowRequest {
	message := &FollowRequest{Host: r.Host, Positions: make(map[string]uint64), Known: r.KnownSequence, Brief: r.OmitResidencies, LeavingServers: fromIncarnations(r.LeavingServers)}
	for table, position := range r.Positions {
		message.Positions[string(table)] = uint64(position)
	}
	for _, inFlight := range r.InFlight {
		begun := inFlight.Begun
		encoded := &InFlight{Server: string(inFlight.Server), BegunCount: int32(begun.Count), BegunTokens: int64(begun.PromptTokens), BegunNanoseconds: int64(begun.Delay)}
		for adapter, count := range inFlight.Adapters {
			encoded.Runs = append(encoded.Runs, &Run{Model: adapter.Model, Name: adapter.Name, Count: int32(count)})
		}
		message.InFlight = append(message.InFlight, encoded)
	}
	return message
}

// FromEndedRuns converts ended requests to their message.
func FromEndedRuns(runs []site.EndedRuns) *EndedRunsReport {
	message := &EndedRunsReport{}
	for _, run := range runs {
		message.Runs = append(message.Runs, &EndedRuns{Server: string(run.Server), Model: run.Adapter.Model, Name: run.Adapter.Name, Count: int32(run.Count)})
	}
	return message
}

// ToEndedRuns converts a message to ended requests.
func ToEndedRuns(message *EndedRunsReport) []site.EndedRuns {
	var runs []site.EndedRuns
	for _, run := range message.GetRuns() {
		runs = append(runs, site.EndedRuns{
			Server:  site.ServerID(run.GetServer()),
			Adapter: site.Adapter{Model: run.GetModel(), Name: run.GetName()},
			Count:   int(run.GetCount()),
		})
	}
	return runs
}

// ToFollowRequest converts a message to a follow request.
func ToFollowRequest(message *FollowRequest) site.FollowRequest {
	r := site.FollowRequest{
		Host:            message.GetHost(),
		Positions:       make(map[site.Table]site.Position),
		KnownSequence:   message.GetKnown(),
		OmitResidencies: message.GetBrief(),
		LeavingServers:  toIncarnations(message.GetLeavingServers()),
	}
	for table, position := range message.GetPositions() {
		r.Positions[site.Table(table)] = site.Position(position)
	}
	for _, inFlight := range message.GetInFlight() {
		decoded := site.InFlight{Server: site.ServerID(inFlight.GetServer()), Adapters: make(map[site.Adapter]int, len(inFlight.GetRuns()))}
		for _, run := range inFlight.GetRuns() {
			decoded.Adapters[site.Adapter{Model: run.GetModel(), Name: run.GetName()}] = int(run.GetCount())
		}
		decoded.Begun = site.BegunAnswers{
			Count:        int(inFlight.GetBegunCount()),
			PromptTokens: int(inFlight.GetBegunTokens()),
			Delay:        time.Duration(inFlight.GetBegunNanoseconds()),
		}
		r.InFlight = append(r.InFlight, decoded)
	}
	return r
}

// FromFollowReply converts a follow reply to its message. Large values of rows are
// compressed.
func FromFollowReply(r site.FollowReply) *FollowReply {
	message := &FollowReply{AgeNanoseconds: int64(largestAge(r.Changes)), Leaving: r.Leaving, Ordering: r.OrderingZones, Running: make(map[string]int32), Sequence: r.Sequence, LeavingServers: fromIncarnations(r.LeavingServers)}
	for id, count := range r.RunningRequests {
		message.Running[string(id)] = int32(count)
	}
	for _, changes := range r.Changes {
		encoded := &Changes{Table: string(changes.Table), Whole: changes.FullTable, Upto: uint64(changes.CompleteThrough), AgeNanoseconds: int64(changes.Age),
			GapAfter: uint64(changes.Gap.After), GapUntil: uint64(changes.Gap.Until)}
		for _, row := range changes.Rows {
			value, compressed := compressValue(row)
			encoded.Rows = append(encoded.Rows, &Row{Key: row.Key, Value: value, Position: uint64(row.Position), Deleted: row.Deleted, Packed: compressed})
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

// largestAge returns the age of the oldest table. Hosts of earlier versions, which
// know only one age for all tables, then take no table for younger than it is.
func largestAge(all []site.Changes) time.Duration {
	var age time.Duration
	for _, changes := range all {
		age = max(age, changes.Age)
	}
	return age
}

// ToFollowReply converts a message to a follow reply. It returns an error if the value
// of a row cannot be decompressed.
func ToFollowReply(message *FollowReply) (site.FollowReply, error) {
	r := site.FollowReply{
		Leaving:         message.GetLeaving(),
		OrderingZones:   message.GetOrdering(),
		Sequence:        message.GetSequence(),
		LeavingServers:  toIncarnations(message.GetLeavingServers()),
		RunningRequests: make(map[site.ServerID]int, len(message.GetRunning())),
	}
	for id, count := range message.GetRunning() {
		r.RunningRequests[site.ServerID(id)] = int(count)
	}
	for _, encoded := range message.GetChanges() {
		changes := site.Changes{
			Table:           site.Table(encoded.GetTable()),
			FullTable:       encoded.GetWhole(),
			CompleteThrough: site.Position(encoded.GetUpto()),
			Age:             time.Duration(encoded.GetAgeNanoseconds()),
			Gap:             site.Gap{After: site.Position(encoded.GetGapAfter()), Until: site.Position(encoded.GetGapUntil())},
		}
		for _, row := range encoded.GetRows() {
			value, err := decompressValue(row)
			if err != nil {
				return site.FollowReply{}, err
			}
			changes.Rows = append(changes.Rows, site.Row{
				Key:      row.GetKey(),
				Value:    value,
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
	return r, nil
}

// FromPlaceRequest converts a place request to its message. The message carries
// MinVersion as the version of the adapter.
func FromPlaceRequest(r site.PlaceRequest) *PlaceRequest {
	return &PlaceRequest{
		Limit:               fromStatedLimit(r.StatedLimit),
		Host:                r.Host,
		Region:              r.Region,
		Server:              fromIncarnation(r.Server),
		Adapter:             fromAdapter(r.Adapter, r.MinVersion),
		Priority:            int32(r.Priority),
		Tokens:              int32(r.PromptTokens),
		DueNanoseconds:      int64(r.SlackTime),
		PatienceNanoseconds: int64(r.MaxWait),
		LeftNanoseconds:     int64(r.TimeLeft),
		Queue:               r.MayQueue,
		Ahead:               r.Prefetch,
		Missing:             r.AdapterMissing,
	}
}

// ToPlaceRequest converts a message to a place request.
func ToPlaceRequest(message *PlaceRequest) site.PlaceRequest {
	return site.PlaceRequest{
		Host:           message.GetHost(),
		Region:         message.GetRegion(),
		Server:         toIncarnation(message.GetServer()),
		Adapter:        toAdapter(message.GetAdapter()),
		MinVersion:     int(message.GetAdapter().GetVersion()),
		Priority:       int(message.GetPriority()),
		PromptTokens:   int(message.GetTokens()),
		SlackTime:      time.Duration(message.GetDueNanoseconds()),
		MaxWait:        time.Duration(message.GetPatienceNanoseconds()),
		TimeLeft:       time.Duration(message.GetLeftNanoseconds()),
		MayQueue:       message.GetQueue(),
		Prefetch:       message.GetAhead(),
		AdapterMissing: message.GetMissing(),
		StatedLimit:    toStatedLimit(message.GetLimit()),
	}
}

// fromStatedLimit converts a statement to its message, nil if it is not known.
func fromStatedLimit(l site.StatedLimit) *StatedLimit {
	if !l.Known {
		return nil
	}
	return &StatedLimit{RequestsPerSecond: l.PerSecond, AgeNanoseconds: int64(l.Age)}
}

// toStatedLimit converts a message, which may be nil, to a statement. A message with a
// value out of range is not known.
func toStatedLimit(message *StatedLimit) site.StatedLimit {
	perSecond, age := message.GetRequestsPerSecond(), message.GetAgeNanoseconds()
	if message == nil || !(perSecond >= 0) || math.IsInf(perSecond, 0) || age < 0 {
		return site.StatedLimit{}
	}
	return site.StatedLimit{Known: true, PerSecond: perSecond, Age: time.Duration(age)}
}

func fromIncarnations(list []site.Incarnation) []*Incarnation {
	var messages []*Incarnation
	for _, i := range list {
		messages = append(messages, fromIncarnation(i))
	}
	return messages
}

func toIncarnations(messages []*Incarnation) []site.Incarnation {
	var list []site.Incarnation
	for _, message := range messages {
		list = append(list, toIncarnation(message))
	}
	return list
}

func fromIncarnation(i site.Incarnation) *Incarnation {
	return &Incarnation{Id: string(i.ID), BornMilliseconds: i.StartUnixMilli}
}

func toIncarnation(message *Incarnation) site.Incarnation {
	return site.Incarnation{ID: site.ServerID(message.GetId()), StartUnixMilli: message.GetBornMilliseconds()}
}

func fromAdapter(a site.Adapter, version int) *Adapter {
	return &Adapter{Model: a.Model, Name: a.Name, Version: int32(version)}
}

func toAdapter(message *Adapter) site.Adapter {
	return site.Adapter{Model: message.GetModel(), Name: message.GetName()}
}
