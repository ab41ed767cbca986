package plat

import (
	"bytes"
	"context"
	"sort"
	"strings"
)

// objects gives access to the object store within the process.
type objects struct {
	platform *Platform
}

func (o objects) Put(ctx context.Context, name string, value []byte) error {
	return o.platform.write(ctx, func() {
		o.platform.objects[name] = bytes.Clone(value)
	})
}

func (o objects) Get(ctx context.Context, name string) ([]byte, bool, error) {
	var value []byte
	var ok bool
	err := o.platform.read(ctx, func() {
		value, ok = o.platform.objects[name]
	})
	return bytes.Clone(value), ok, err
}

func (o objects) List(ctx context.Context, prefix string) ([]string, error) {
	names := []string{}
	err := o.platform.read(ctx, func() {
		for n := range o.platform.objects {
			if strings.HasPrefix(n, prefix) {
				names = append(names, n)
			}
		}
	})
	sort.Strings(names)
	return names, err
}
