// Package find searches slices by the names of their elements.
package find

// ByName returns the first element with the name, and whether there is one.
func ByName[T any](all []T, name string, nameOf func(T) string) (T, bool) {
	for _, v := range all {
		if nameOf(v) == name {
			return v, true
		}
	}
	var zero T
	return zero, false
}

// Names returns the names of all elements, in their order.
func Names[T any](all []T, nameOf func(T) string) []string {
	var list []string
	for _, v := range all {
		list = append(list, nameOf(v))
	}
	return list
}
