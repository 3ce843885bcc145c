package even

import (
	"testing"

	"bulrushlug.dev/bulrushlug"
)

func TestScore(t *testing.T) {
	load := func(own, others, batch int) bulrushlug.ServerLoad {
		return bulrushlug.NewServerLoad(8, own, others, batch).WithSpeed(0, true)
	}
	news := func(begun, ms, failed uint32) bulrushlug.ServerLoad {
		return load(0, 2, 0).WithNews(0, bulrushlug.NewAnswers(begun, ms, failed), bulrushlug.NewAnswers(100, 8000, 5))
	}
	for name, x := range map[string]struct{ better, worse bulrushlug.ServerLoad }{
		"fewer requests":                      {load(0, 2, 0), load(0, 3, 0)},
		"what this process knows exactly":     {load(0, 5, 0), load(2, 1, 0)},
		"places of its own":                   {load(0, 4, 0).WithNews(0, bulrushlug.Answers{}, bulrushlug.Answers{}), load(0, 2, 0).WithNews(6, bulrushlug.Answers{}, bulrushlug.Answers{})},
		"a far place where the near are full": {load(0, 0, 0).WithNews(40, bulrushlug.Answers{}, bulrushlug.Answers{}), load(2, 8, 0)},
		"an idle connection":                  {load(0, 4, 0), bulrushlug.NewServerLoad(8, 0, 2, 0)},
		"an idle slot":                        {load(0, 2, 0), load(0, 2, 6)},
		"a batch item that yields":            {load(0, 2, 6), load(0, 4, 0)},
		"more slots":                          {bulrushlug.NewServerLoad(16, 0, 6, 0), bulrushlug.NewServerLoad(8, 0, 6, 0)},
		"a server without failures":           {news(4, 320, 0), news(4, 320, 2)},
		"few failures of many":                {news(40, 3200, 1), news(1, 80, 1)},
		"first events as usual":               {news(4, 320, 0), news(4, 2400, 0)},
		"one slow answer tells little":        {news(1, 300, 0), news(8, 2400, 0)},
		"failures before a far place":         {load(0, 2, 0).WithNews(20, bulrushlug.Answers{}, bulrushlug.Answers{}), news(0, 0, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 {
				if a, b := New().Score(x.better), New().Score(x.worse); a >= b {
					t.Errorf("score %.2f, %.2f for the worse server", a, b)
				}
			}
		})
	}
}
