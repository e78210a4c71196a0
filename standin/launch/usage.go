package launch

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Usage is the resource usage of a process since its start.
type Usage struct {
	CPU           time.Duration // user and system time
	ResidentBytes int64         // current resident set size
	IOBytes       int64         // bytes read and written by system calls, also on sockets
}

// clockTick is the unit of the times in /proc/PID/stat.
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the program's name.
const (
	utimeField = 11
	stimeField = 12
)

// ReadUsage reads the usage of process pid from /proc.
func ReadUsage(pid int) (u Usage, err error) {
	defer func() { err = errors.WithMessagef(err, "usage of process %d", pid) }()
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.CPU, err = parseCPU(stat); err != nil {
		return u, err
	}
	status, err := readFields(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	io, err := readFields(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.ResidentBytes = status["VmRSS"] * 1024
	u.IOBytes = io["rchar"] + io["wchar"]
	return u, nil
}

func parseCPU(stat []byte) (time.Duration, error) {
	end := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[end+1:]))
	if len(fields) <= stimeField {
		return 0, errors.Errorf("stat has %d fields after the program's name, want more than %d", len(fields), stimeField)
	}
	user, err := strconv.ParseInt(fields[utimeField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[stimeField], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// readFields parses the lines of the form "Name: number ..." in the file at path.
func readFields(path string) (fields map[string]int64, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	fields = map[string]int64{}
	scanner := bufio.NewScanner(bytes.NewReader(b))
	for scanner.Scan() {
		name, rest, _ := strings.Cut(scanner.Text(), ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(words[0], 10, 64); err == nil {
			fields[name] = n
		}
	}
	return fields, scanner.Err()
}

// Sub returns the usage between before and u. ResidentBytes is that of u.
func (u Usage) Sub(before Usage) Usage {
	return Usage{CPU: u.CPU - before.CPU, ResidentBytes: u.ResidentBytes, IOBytes: u.IOBytes - before.IOBytes}
}
