package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"carawaycart/internal/mutate"
	"carawaycart/internal/settings"
)

// TestParseReportsFaults guards against faults of a settings file that are missed or
// reported under the wrong section or key. The faults of each file in testdata are
// compared with its golden file.
func TestParseReportsFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files, %v", len(files), err)
	}
	golden := goldie.New(t)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		name := strings.TrimSuffix(filepath.Base(f), ".ini")
		text := "good\n"
		if _, err := settings.Parse(filepath.Base(f), data); err != nil {
			var faults settings.FaultsError
			if !errors.As(err, &faults) {
				t.Errorf("%s: got error %v, want a FaultsError", f, err)
			}
			text = err.Error() + "\n"
		}
		golden.Assert(t, name, []byte(text))
	}
}

// FuzzParse guards against a file that makes Parse panic.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[instance]\nid = a\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("fuzz.ini", data)
	})
}

// TestParseHandlesCorruptedFiles guards against a corrupted file that makes Parse
// panic, and against mutations that leave every file valid.
func TestParseHandlesCorruptedFiles(t *testing.T) {
	valid, err := os.ReadFile("testdata/good.ini")
	if err != nil {
		t.Fatal(err)
	}
	rejected := 0
	mutate.Each(1, 3000, [][]byte{valid}, func(data []byte) {
		if _, err := settings.Parse("damaged.ini", data); err != nil {
			rejected++
		}
	})
	if rejected == 0 {
		t.Error("got no rejected file, so the mutations do not exercise the validation")
	}
}

// TestReferenceIsUpToDate guards against a setting that was changed without the
// reference page for operators.
func TestReferenceIsUpToDate(t *testing.T) {
	const page = "../../docs/operators/SETTINGS.md"
	got, err := os.ReadFile(page)
	if os.Getenv("UPDATE_REFERENCE") != "" {
		err = os.WriteFile(page, []byte(settings.Reference()), 0o644)
		got = []byte(settings.Reference())
	}
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != settings.Reference() {
		t.Errorf("%s differs from settings.Reference; run the test with UPDATE_REFERENCE=1 to update it", page)
	}
}
