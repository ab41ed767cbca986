// Package find looks things up by their names in tables.
package find

// ByName returns the first one of the name.
func ByName[T any](all []T, name string, nameOf func(T) string) (T, bool) {
	for _, v := range all {
		if nameOf(v) == name {
			return v, true
		}
	}
	var none T
	return none, false
}

// Names returns the names of all, in their order.
func Names[T any](all []T, nameOf func(T) string) []string {
	var list []string
	for _, v := range all {
		list = append(list, nameOf(v))
	}
	return list
}
