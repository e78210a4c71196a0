package table

import (
	"encoding/json"

	"github.com/pkg/errors"
)

// Keys of the rows in the platform's table service.
const (
	RowKey           = "table"
	HistoryKeyPrefix = "table_history/" // followed by the version in decimal
)

// MaxRowBytes is the size above which DecodeRow rejects a row's value unread.
const MaxRowBytes = 2 * MaxTextBytes

// RowValue is the value of the row that holds the table in the platform's table
// service, and of each row of its history. The version of that row is the version
// of the table.
type RowValue struct {
	EditID string `json:"edit_id"` // random id of the edit, chosen by the author's client
	Author string `json:"author"`
	Time   string `json:"time"` // RFC 3339, from the clock of the author's machine; only for display
	CSV    string `json:"csv"`
}

// DecodeRow parses the JSON value of a row.
func DecodeRow(value string) (row RowValue, err error) {
	defer func() { err = errors.WithMessage(err, "row "+RowKey) }()
	if len(value) > MaxRowBytes {
		return RowValue{}, errors.Errorf("the value has %d bytes, above the limit of %d", len(value), MaxRowBytes)
	}
	if err := json.Unmarshal([]byte(value), &row); err != nil {
		return RowValue{}, errors.Errorf("the value is not JSON as siskinctl writes it: %v; apply the table again", err)
	}
	if row.EditID == "" {
		return RowValue{}, errors.New("edit_id is empty; apply the table again")
	}
	return row, nil
}

// EncodeRow returns the JSON value of a row.
func EncodeRow(row RowValue) string {
	b, _ := json.Marshal(row)
	return string(b)
}
