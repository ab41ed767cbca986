// Package counts holds what the platform's stand-in has counted.
package counts

// Counts is a snapshot of the counters since the start.
type Counts struct {
	// Reads counts gets, scans and lists, Writes transactions and puts. Both
	// are of calls that reached the store, whatever their outcome.
	Reads  int64
	Writes int64
	// RowsWritten counts the rows that applied transactions changed.
	RowsWritten int64
	// Refused counts calls that an outage or a limit turned away.
	Refused int64
	// Lost counts writes that took effect and whose answer was lost.
	Lost int64
}
