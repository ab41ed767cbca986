// Package counts holds the counters of the platform's stand-in.
package counts

// Counts is a snapshot of the counters since the start.
type Counts struct {
	// Reads counts gets, scans and lists, Writes transactions and puts. Both
	// count calls that reached the store, whatever their outcome.
	Reads  int64
	Writes int64
	// RowsWritten counts the rows that applied transactions changed.
	RowsWritten int64
	// Refused counts calls that were refused by an outage or a limit.
	Refused int64
	// Lost counts writes that took effect but whose response was lost.
	Lost int64
}
