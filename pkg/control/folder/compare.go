package folder

// Compare returns the files of next that old does not hold with the same content, and the names that
// only old holds. Both lists are by name. Versions are not compared.
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
