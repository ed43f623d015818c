import t from 'tap';
import {ManualClock} from '../../base/common/clock.js';
import {Emitter} from '../../base/common/emitter.js';
import type {LimitUpdate as News} from '../../deployment/common/server-limits.js';
import {MeshStandin} from '../../../test/mesh-standin.js';
import {LimitNews} from './limit-news.js';

function makeNews(known: News[] = []) {
	const learned = Emitter.create<News>();
	const heard: News[] = [];
	const mesh = MeshStandin.create();
	LimitNews.create({
		limits: {
			onDidLearn: learned.event,
			handlePeerReport(news) {
				heard.push(...news);
			},
			all: () => known,
		},
		mesh,
		clock: ManualClock.create(),
	});
	return {learned, heard, mesh};
}

t.test('what is learned goes to all peers, and is taken in as it was sent', async t => {
	const {learned, heard, mesh} = makeNews();
	const news: News[] = [{serverId: 's', perS: 0.5, namedAgoMs: 0}, {
		serverId: 's', perS: 0.5, namedAgoMs: 700, endedAgoMs: 20,
	}];
	for (const each of news) {
		learned.fire(each);
	}

	for (const {to, message} of mesh.sent) {
		t.equal(to, 'all');
		mesh.receive('peer', message);
	}

	t.same(heard, news);
});

t.test('a host that connects is told all that is known, and nothing where nothing is', async t => {
	const limits: News[] = Array.from({length: 1200}, (_, index) => ({serverId: `s${index}`, perS: 1, namedAgoMs: 5}));
	const some = makeNews(limits);
	some.mesh.connect('new');
	t.same(some.mesh.sent, [{to: 'new', message: {type: 'serverLimits', limits: limits.slice(200)}}], 'the latest, where they are too many');
	const nothing = makeNews();
	nothing.mesh.connect('new');
	t.same(nothing.mesh.sent, []);
});
