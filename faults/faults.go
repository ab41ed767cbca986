// Package faults holds the fault settings of the platform's stand-in.
package faults

// Rate limits of the real platform, the defaults of the stand-in.
const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
)

// LoseAllAnswers is the value of LoseAnswers that loses the response to every
// write.
const LoseAllAnswers = -1

// Faults holds the faults and rate limits that the stand-in simulates. The zero
// value has no fault and no limit.
type Faults struct {
	// Outage refuses every call immediately, without effect.
	Outage bool
	// Silence accepts every call and never responds, without effect.
	Silence bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int64
	// LoseAnswers is how many of the next writes take effect but have their
	// responses lost. It counts down. LoseAllAnswers means all.
	LoseAnswers int
	// ForgetTokens treats repeated transactions as new ones.
	ForgetTokens bool
	// WritesPerSecond and ReadsPerSecond are rate limits; calls above them are
	// refused without effect. 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// OlderReadsMillis is the age of the states that reads return, in
	// milliseconds.
	OlderReadsMillis int64
}

// New returns the settings of a platform without faults, with the default rate
// limits.
func New() Faults {
	return Faults{
		WritesPerSecond: defaultWritesPerSecond,
		ReadsPerSecond:  defaultReadsPerSecond,
	}
}

// WithOutage returns the settings with an outage or without.
func (f Faults) WithOutage(on bool) Faults {
	f.Outage = on
	return f
}

// WithSilence returns the settings with silence on or off.
func (f Faults) WithSilence(on bool) Faults {
	f.Silence = on
	return f
}

// WithSlowMillis returns the settings with each call delayed by so many
// milliseconds.
func (f Faults) WithSlowMillis(millis int64) Faults {
	f.SlowMillis = millis
	return f
}

// WithLostAnswers returns the settings with the responses of the next n writes
// lost.
func (f Faults) WithLostAnswers(n int) Faults {
	f.LoseAnswers = n
	return f
}

// WithForgetTokens returns the settings with repeated transactions treated as
// new ones, or recognised by their tokens.
func (f Faults) WithForgetTokens(on bool) Faults {
	f.ForgetTokens = on
	return f
}

// WithLimits returns the settings with other rate limits, in calls a second.
func (f Faults) WithLimits(writes, reads int) Faults {
	f.WritesPerSecond = writes
	f.ReadsPerSecond = reads
	return f
}

// WithOlderReads returns the settings with reads of states of the given age, in
// milliseconds.
func (f Faults) WithOlderReads(millis int64) Faults {
	f.OlderReadsMillis = millis
	return f
}
