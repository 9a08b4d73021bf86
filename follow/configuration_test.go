package follow

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

func TestConfigurationIsPassedOnWithoutCallsToTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, unused, one, other := passingPair(t, 3)
		before := unused.asked()
		for version := uint64(2); version < 6; version++ {
			s.change(Configuration, func() { s.version = version })
			tell(one, other, 20)
			assert.Equal(t, other.Table().Version, version)
		}
		tell(one, other, 600)
		assert.Equal(t, unused.asked(), before, "the store was asked")
	})
}

func TestNodeCutOffFromTheStoreTakesALaterConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		one := roleFollower(t, s, role{confirms: true})
		other := roleFollower(t, cut, role{})
		cut.set(func() { cut.deaf = true })
		s.change(Configuration, func() { s.version = 7 })
		tell(one, other, 20)
		assert.Equal(t, other.Table().Version, uint64(7))
		tell(one, other, 300)
		assert.Assert(t, other.age() < time.Second, "its peer's word counts: %v", other.age())
	})
}

func TestNodeThatNeverReachedTheStoreTakesAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, cut := newFakeStore(), newFakeStore()
		cut.down = true
		one := roleFollower(t, s, role{confirms: true})
		other := roleFollower(t, cut, role{})
		assert.Assert(t, other.Table() == nil && other.Document() == nil)
		tell(one, other, 2)
		assert.Equal(t, other.Table().Version, uint64(1))
	})
}

func TestConfigurationFromAPeerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.version = 5
		f := roleFollower(t, s, role{confirms: true})
		f.TakeConfiguration("peer", 4, documentOf(4))
		f.TakeConfiguration("peer", 9, documentOf(3))
		assert.Equal(t, f.Table().Version, uint64(5), "also if its report names another version than it has")
		f.TakeConfiguration("peer", 6, nil)
		assert.Equal(t, f.Table().Version, uint64(5))
	})
}

func TestConfigurationThatCantBeReadIsReadOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{confirms: true})
		for range 10 {
			f.TakeConfiguration("peer", 2, []byte("rubbish"))
		}
		assert.Equal(t, f.rejected.Get(), uint64(1))
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(time.Second)
		assert.Equal(t, f.Table().Version, uint64(2), "the store tells of it")
	})
}

func TestNodeAsksTheStoreOnceThePeersWordIsOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		f := roleFollower(t, s, role{passedOn: true})
		s.change(Configuration, func() { s.version = 2 })
		time.Sleep(relayLost + time.Second)
		assert.Equal(t, f.Table().Version, uint64(2))
		assert.Assert(t, f.age() < 2*confirmWait+time.Second)
	})
}

func TestNodeOutOfTouchWithTheConfigurationIsNotReliedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := roleFollower(t, newFakeStore(), role{confirms: true, passesOn: true})
		time.Sleep(time.Second)
		f.feeds[Configuration].failing.Store(true)
		_, reliable := f.PassOn()
		assert.Assert(t, !reliable)
	})
}
