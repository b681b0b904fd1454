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
		for _, traits := range end.Suspects {
			encoded.Suspects = append(encoded.Suspects, &Suspect{Traits: traits})
		}
		message.Ends = append(message.Ends, encoded)
	}
	for _, sound := range r.SoundTraits {
		message.SoundTraits = append(message.SoundTraits, &SoundTraits{Service: string(sound.Service), Traits: sound.Traits, AgeNanoseconds: int64(sound.Age)})
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
			end.Suspects = append(end.Suspects, suspect.GetTraits())
		}
		r.Ends = append(r.Ends, end)
	}
	for _, encoded := range message.GetSoundTraits() {
		r.SoundTraits = append(r.SoundTraits, site.SoundTraits{
			Service: site.ServiceName(encoded.GetService()),
			Traits:  encoded.GetTraits(),
			Age:     time.Duration(encoded.GetAgeNanoseconds()),
		})
	}
	return r
}
