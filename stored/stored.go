// Package stored holds one file of the configuration as the table keeps it.
package stored

import "bergamotloom.example/shasum"

// File is one file with its last change. A removed file keeps its row without
// content, so that it's known who removed it.
type File struct {
	Name    string
	Content []byte
	Digest  string
	Removed bool
	// Version is that of the change that wrote or removed the file.
	Version int64
	Who     string
	When    string
}

// New returns a file with a content.
func New(name string, content []byte) File {
	return File{Name: name, Content: content, Digest: shasum.Of(content)}
}

// NewRemoved returns what is kept of a file that is gone.
func NewRemoved(name string) File {
	return File{Name: name, Removed: true}
}

// WithChange returns the file with the change that made it as it is.
func (f File) WithChange(version int64, who, when string) File {
	f.Version = version
	f.Who = who
	f.When = when
	return f
}
