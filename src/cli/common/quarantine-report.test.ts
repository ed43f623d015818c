import t from 'tap';
import {quarantineLogMessages} from '../../quarantine/common/quarantine-log-messages.js';
import {requestLogMessages} from '../../request/common/request-log-messages.js';
import {readLogLines} from './log-lines.js';
import {reportQuarantine} from './quarantine-report.js';

let second = 10;
const line = (host: string, message: string, fields: Record<string, string | number>) => JSON.stringify({
	time: `2026-01-01T00:00:${second++}.000Z`, part: 'quarantine', host, message, ...fields,
});

t.test('attempts, server crashes and refusals of one content are collected from all hosts, each crash once', async t => {
	const {connectionLost, serverCrashed, barred} = quarantineLogMessages;
	const {lines} = readLogLines([
		line('a', connectionLost, {request: 'r1', content: 'c1', server: 's1'}),
		line('a', connectionLost, {request: 'other', content: 'c2', server: 's1'}),
		line('a', connectionLost, {request: 'cut', content: 'c3', server: 's9'}),
		line('a', serverCrashed, {content: 'c1', server: 's1', ends: 1}),
		line('a', serverCrashed, {content: 'c2', server: 's1', ends: 1}),
		line('b', serverCrashed, {content: 'c1', server: 's1', ends: 1}),
		line('b', connectionLost, {request: 'r2', content: 'c1', server: 's2'}),
		line('b', serverCrashed, {content: 'c1', server: 's2', ends: 2}),
		line('b', serverCrashed, {content: 'c1', server: 's3', ends: 3}),
		line('b', barred, {content: 'c1', servers: 's1 s2 s3'}),
		line('a', requestLogMessages.refusedOnAdmission, {
			request: 'r4', content: 'c1', status: 503, reason: 'in quarantine',
		}),
	].join('\n'));
	t.same(reportQuarantine(lines), [
		{
			content: 'c1', state: 'barred', servers: ['s1', 's2', 's3'], requests: ['r1', 'r2'], refusedCount: 1,
		},
		{
			content: 'c2', state: 'suspected', servers: ['s1'], requests: ['other'], refusedCount: 0,
		},
	], 'a call whose server did not crash is not listed');
});

t.test('attempts, server crashes and refusals of one part of prompts are collected, apart from those of contents', async t => {
	const {connectionLost, partCrashed, partBarred, partLifted} = quarantineLogMessages;
	const {lines} = readLogLines([
		line('a', connectionLost, {
			request: 'r1', content: 'c1', promptParts: 'dead sound', server: 's1',
		}),
		line('a', partCrashed, {promptPart: 'dead', server: 's1', ends: 1}),
		line('a', partCrashed, {promptPart: 'sound', server: 's1', ends: 1}),
		line('b', partCrashed, {promptPart: 'dead', server: 's2', ends: 2}),
		line('b', partBarred, {promptPart: 'dead', servers: 's1 s2'}),
		line('b', partLifted, {promptPart: 'sound'}),
		line('a', requestLogMessages.refusedOnAdmission, {request: 'r4', promptPart: 'dead', status: 503}),
	].join('\n'));
	t.same(reportQuarantine(lines), [
		{
			content: 'part dead', state: 'barred', servers: ['s1', 's2'], requests: ['r1'], refusedCount: 1,
		},
		{
			content: 'part sound', state: 'lifted', servers: ['s1'], requests: ['r1'], refusedCount: 0,
		},
	]);
});
