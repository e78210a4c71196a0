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

// Usage is what a process has used since its start.
type Usage struct {
	CPU           time.Duration // user and system
	ResidentBytes int64         // bytes now
	IOBytes       int64         // read and written by system calls, sockets included
}

// tick is the unit of times in /proc/PID/stat.
const tick = 10 * time.Millisecond

// Places in /proc/PID/stat after the program's name.
const (
	userField   = 11
	systemField = 12
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
	if len(fields) <= systemField {
		return 0, errors.New("stat is too short")
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * tick, err
}

// readFields reads lines of the form "Name: number ...".
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

// Sub returns what was used between before and u; Resident is that of u.
func (u Usage) Sub(before Usage) Usage {
	return Usage{CPU: u.CPU - before.CPU, ResidentBytes: u.ResidentBytes, IOBytes: u.IOBytes - before.IOBytes}
}
