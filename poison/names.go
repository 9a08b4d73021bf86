package poison

import "strconv"

// names returns hashes in hexadecimal, for the log.
func names(hashes []uint64) []string {
	list := make([]string, 0, len(hashes))
	for _, h := range hashes {
		list = append(list, strconv.FormatUint(h, 16))
	}
	return list
}
