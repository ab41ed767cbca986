// Package faults holds the switches of the platform's stand-in.
package faults

// Limits of the real platform, which the stand-in has unless told otherwise.
const (
	defaultWritesPerSecond = 500
	defaultReadsPerSecond  = 2000
)

// LoseAllAnswers as LoseAnswers loses the answer to every write.
const LoseAllAnswers = -1

// Faults says how the stand-in misbehaves. It's a value; the zero value has no
// fault and no limit.
type Faults struct {
	// Outage refuses every call at once, without effect.
	Outage bool
	// Silence accepts every call and never answers, without effect.
	Silence bool
	// SlowMillis delays every call, in milliseconds.
	SlowMillis int64
	// LoseAnswers is how many of the next writes take effect, but have their
	// answers lost.
	LoseAnswers int
	// ForgetTokens makes repeated transactions look like new ones.
	ForgetTokens bool
	// WritesPerSecond and ReadsPerSecond limit the calls; calls above them are
	// refused without effect. 0 means no limit.
	WritesPerSecond int
	ReadsPerSecond  int
	// OlderReadsMillis is the age of what reads show, in milliseconds.
	OlderReadsMillis int64
}

// New returns the switches of a platform that works as it should.
func New() Faults {
	return Faults{
		WritesPerSecond: defaultWritesPerSecond,
		ReadsPerSecond:  defaultReadsPerSecond,
	}
}

// WithOutage returns the switches with calls refused or not.
func (f Faults) WithOutage(on bool) Faults {
	f.Outage = on
	return f
}

// WithSilence returns the switches with calls left unanswered or not.
func (f Faults) WithSilence(on bool) Faults {
	f.Silence = on
	return f
}

// WithSlowMillis returns the switches with each call delayed.
func (f Faults) WithSlowMillis(millis int64) Faults {
	f.SlowMillis = millis
	return f
}

// WithLostAnswers returns the switches with the answers of the next n writes
// lost.
func (f Faults) WithLostAnswers(n int) Faults {
	f.LoseAnswers = n
	return f
}

// WithForgetTokens returns the switches with tokens forgotten or not.
func (f Faults) WithForgetTokens(on bool) Faults {
	f.ForgetTokens = on
	return f
}

// WithLimits returns the switches with other limits, in calls a second.
func (f Faults) WithLimits(writes, reads int) Faults {
	f.WritesPerSecond = writes
	f.ReadsPerSecond = reads
	return f
}

// WithOlderReads returns the switches with reads of the given age.
func (f Faults) WithOlderReads(millis int64) Faults {
	f.OlderReadsMillis = millis
	return f
}
