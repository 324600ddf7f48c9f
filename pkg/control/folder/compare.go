package folder

// Compare returns the files of next that are not in old with the same content, and the names that
// only old contains. Both lists and both results are sorted by name. It does not compare
// versions.
func Compare(old, next []*File) (put []*File, removed []string) {
	if len(old) == len(next) && (len(old) == 0 || &old[0] == &next[0]) {
		return nil, nil
	}
	for len(old) > 0 && len(next) > 0 {
		a, b := old[0], next[0]
		switch {
		case a == b:
			old, next = old[1:], next[1:]
		case a.Name < b.Name:
			removed = append(removed, a.Name)
			old = old[1:]
		case a.Name > b.Name:
			put = append(put, b)
			next = next[1:]
		default:
			if a.Sum != b.Sum {
				put = append(put, b)
			}
			old, next = old[1:], next[1:]
		}
	}
	for _, f := range old {
		removed = append(removed, f.Name)
	}
	return append(put, next...), removed
}
