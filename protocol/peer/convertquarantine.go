package peer

import (
	"time"

	"github.com/persimmonmux/persimmonmux/state/site"
)

// FromQuarantineReport converts a quarantine report to its message.
func FromQuarantineReport(r site.QuarantineReport) *QuarantineReport {
	message := &QuarantineReport{}
	for _, end := range r.Ends {
		encoded := &EngineEnd{Engine: fromIncarnation(end.Engine), Service: string(end.Service), AgeNanoseconds: int64(end.Age)}
		for _, parts := range end.Suspects {
			encoded.Suspects = append(encoded.Suspects, &Suspect{Parts: parts})
		}
		message.Ends = append(message.Ends, encoded)
	}
	for _, sound := range r.SoundParts {
		message.SoundParts = append(message.SoundParts, &SoundPart{Service: string(sound.Service), Part: sound.Part, AgeNanoseconds: int64(sound.Age)})
	}
	return message
}

// ToQuarantineReport converts a message to a quarantine report.
func ToQuarantineReport(message *QuarantineReport) site.QuarantineReport {
	var r site.QuarantineReport
	for _, encoded := range message.GetEnds() {
		end := site.EngineEnd{
			Engine:  toIncarnation(encoded.GetEngine()),
			Service: site.ServiceName(encoded.GetService()),
			Age:     time.Duration(encoded.GetAgeNanoseconds()),
		}
		for _, suspect := range encoded.GetSuspects() {
			end.Suspects = append(end.Suspects, suspect.GetParts())
		}
		r.Ends = append(r.Ends, end)
	}
	for _, encoded := range message.GetSoundParts() {
		r.SoundParts = append(r.SoundParts, site.SoundPart{
			Service: site.ServiceName(encoded.GetService()),
			Part:    encoded.GetPart(),
			Age:     time.Duration(encoded.GetAgeNanoseconds()),
		})
	}
	return r
}
