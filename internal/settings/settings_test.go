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

// Each file in testdata is read; what is wrong with it stands in its golden file.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/*.ini")
	if err != nil || len(files) == 0 {
		t.Fatalf("got %d files, %v", len(files), err)
	}
	g := goldie.New(t)
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
				t.Errorf("%s: got an error of another type: %v", f, err)
			}
			text = err.Error() + "\n"
		}
		g.Assert(t, name, []byte(text))
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte("[instance]\nid = a\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = settings.Parse("fuzz.ini", data)
	})
}

func TestParseSurvivesDamage(t *testing.T) {
	good, err := os.ReadFile("testdata/good.ini")
	if err != nil {
		t.Fatal(err)
	}
	refused := 0
	mutate.Each(1, 3000, [][]byte{good}, func(data []byte) {
		if _, err := settings.Parse("damaged.ini", data); err != nil {
			refused++
		}
	})
	if refused == 0 {
		t.Error("no damaged file was refused, so the test shows too little")
	}
}

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
		t.Errorf("%s differs from the code's table; run the test with UPDATE_REFERENCE=1", page)
	}
}
