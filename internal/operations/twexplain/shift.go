package twexplain

import "time"

// timeLayout is the format of the time in log lines.
const timeLayout = "2006-01-02T15:04:05.000Z07:00"

// shiftTime returns the time of a line moved by the seconds; a time that can't be parsed is returned unchanged.
func shiftTime(text string, seconds int) string {
	at, err := time.Parse(timeLayout, text)
	if err != nil {
		return text
	}
	return at.Add(time.Duration(seconds) * time.Second).Format(timeLayout)
}
