// Package stored holds one file of the configuration as stored in the table.
package stored

import "bergamotloom.example/shasum"

// File is one file with its last change. A removed file keeps its row without
// content, as a record of who removed it.
type File struct {
	Name    string
	Content []byte
	Digest  string
	Removed bool
	// Version is the version of the change that wrote or removed the file.
	Version int64
	// Who is the name of the operator who made that change, When its time in
	// UTC as 2006-01-02T15:04:05.000000Z.
	Who  string
	When string
}

// New returns a file with this content and its digest.
func New(name string, content []byte) File {
	return File{Name: name, Content: content, Digest: shasum.Of(content)}
}

// NewRemoved returns the record of a removed file.
func NewRemoved(name string) File {
	return File{Name: name, Removed: true}
}

// WithChange returns the file with its last change.
func (f File) WithChange(version int64, who, when string) File {
	f.Version = version
	f.Who = who
	f.When = when
	return f
}
