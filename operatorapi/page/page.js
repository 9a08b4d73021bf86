'use strict';

// Columns of each kind of row; the first column is the key.
const columns = {
  tiers: ['name', 'rank', 'first_token_ms', 'deadline_ms'],
  organisations: ['id', 'tier', 'weight', 'in_flight', 'tokens_per_minute', 'key_hashes', 'home_data_centre'],
  models: ['name', 'max_prompt_tokens', 'max_answer_tokens'],
  services: ['name', 'once', 'deadline_ms'],
  endpoints: ['id', 'kind', 'data_centre', 'address', 'serves', 'generation', 'weight', 'limit', 'token_limit', 'drain', 'checks_fencing'],
};
const numbers = new Set(['rank', 'first_token_ms', 'deadline_ms', 'weight', 'in_flight', 'tokens_per_minute',
  'max_prompt_tokens', 'max_answer_tokens', 'limit', 'token_limit']);
const flags = new Set(['drain', 'checks_fencing']);
const rowField = { tiers: 'tier', organisations: 'organisation', models: 'model', services: 'service', endpoints: 'endpoint' };
// A status request makes the serving node call every other node, so the polling
// interval grows with the number of nodes.
const statusIntervalMs = 3000;
const statusIntervalPerNodeMs = 50;

const state = { key: '', generation: 0, kind: 'organisations', rows: {}, changes: null, edit: null };

const byId = (id) => document.getElementById(id);

function element(tag, text, properties) {
  const e = document.createElement(tag);
  if (text !== undefined) e.textContent = text;
  return Object.assign(e, properties);
}

function showMessage(text, isError) {
  byId('message').textContent = text;
  byId('message').className = isError ? 'error' : '';
}

// Throws a problem document, or an object of the same form, if the request fails.
async function sendRequest(method, path, body) {
  let response;
  try {
    response = await fetch('/operator/v1' + path, {
      method,
      headers: { 'Authorization': 'Bearer ' + state.key, 'Content-Type': 'application/json' },
      body: body === undefined ? undefined : JSON.stringify(body),
    });
  } catch (e) {
    throw { title: 'No answer from this node', detail: String(e), outcome: 'unknown' };
  }
  const answer = await response.json().catch(() => ({ title: 'Unexpected answer', detail: response.statusText, outcome: 'unknown' }));
  if (!response.ok) throw answer;
  return answer;
}

// Each row keeps its accepted cells (null for a new row), its edited cells and
// whether it is marked for removal.
function loadTable(reply) {
  state.generation = reply.version.generation;
  state.rows = {};
  for (const kind of Object.keys(columns)) {
    state.rows[kind] = (reply.table[kind] || []).map((row) => {
      const cells = columns[kind].map((c) => String(row[c]));
      return { before: cells, after: cells.slice(), removed: false };
    });
  }
  byId('generation').textContent = 'generation ' + state.generation;
  clearPreview();
  drawTable();
}

function drawTable() {
  byId('kinds').replaceChildren(...Object.keys(columns).map((kind) => {
    const button = element('button', kind + ' (' + state.rows[kind].length + ')', { type: 'button', onclick: () => { state.kind = kind; drawTable(); } });
    if (kind === state.kind) button.setAttribute('aria-current', 'true');
    return button;
  }));
  const head = element('tr');
  head.append(...columns[state.kind].map((c) => element('th', c)), element('th', ''));
  byId('table').replaceChildren(head, ...state.rows[state.kind].map(drawRow));
}

function drawRow(row, index) {
  const tr = element('tr');
  if (row.removed) tr.className = 'removed';
  row.after.forEach((value, i) => {
    const td = element('td', value);
    makeEditable(td);
    td.dataset.row = index;
    td.dataset.column = i;
    markChanged(td, row, i);
    td.addEventListener('input', () => { row.after[i] = td.textContent.trim(); markChanged(td, row, i); clearPreview(); });
    td.addEventListener('paste', (event) => paste(event, index, i));
    tr.append(td);
  });
  const cell = element('td');
  cell.append(element('button', row.removed ? 'keep' : 'remove', { type: 'button', onclick: () => toggleRemoved(row, index) }));
  tr.append(cell);
  return tr;
}

// Older browsers reject the value 'plaintext-only'.
function makeEditable(td) {
  try {
    td.contentEditable = 'plaintext-only';
  } catch {
    td.contentEditable = 'true';
  }
}

function markChanged(td, row, i) {
  td.classList.toggle('changed', !row.before || row.before[i] !== row.after[i]);
}

function toggleRemoved(row, index) {
  if (row.before) row.removed = !row.removed;
  else state.rows[state.kind].splice(index, 1);
  clearPreview();
  drawTable();
}

function emptyRow() {
  return { before: null, after: columns[state.kind].map((c) => (numbers.has(c) ? '0' : flags.has(c) ? 'false' : '')), removed: false };
}

// Spreadsheet programs paste cells as lines of tab-separated values.
function paste(event, index, column) {
  const text = event.clipboardData.getData('text/plain').replace(/\r/g, '').replace(/\n$/, '');
  event.preventDefault();
  const rows = state.rows[state.kind];
  text.split('\n').forEach((line, rowOffset) => {
    while (rows.length <= index + rowOffset) rows.push(emptyRow());
    line.split('\t').forEach((cell, columnOffset) => {
      if (column + columnOffset < columns[state.kind].length) rows[index + rowOffset].after[column + columnOffset] = cell.trim();
    });
  });
  clearPreview();
  drawTable();
}

// Converts the text of a row's cells to the row's JSON form. Throws if a cell does
// not have the type of its column.
function toRow(kind, cells) {
  const row = {};
  columns[kind].forEach((c, i) => {
    const text = cells[i];
    if (numbers.has(c) && !/^-?\d+$/.test(text)) throw { title: 'Not a whole number', detail: `${kind} ${cells[0]}, ${c}: "${text}"` };
    if (flags.has(c) && !/^(true|false)$/i.test(text)) throw { title: 'Not true or false', detail: `${kind} ${cells[0]}, ${c}: "${text}"` };
    row[c] = numbers.has(c) ? Number(text) : flags.has(c) ? text.toLowerCase() === 'true' : text;
  });
  return { [rowField[kind]]: row };
}

function collectChanges() {
  const changes = [];
  for (const kind of Object.keys(columns)) {
    for (const row of state.rows[kind]) {
      const before = row.before && toRow(kind, row.before);
      const same = row.before && row.before.every((c, i) => c === row.after[i]);
      if (row.removed) changes.push({ kind, key: row.before[0], before });
      else if (!row.before) changes.push({ kind, key: row.after[0], after: toRow(kind, row.after) });
      else if (!same && row.before[0] === row.after[0]) changes.push({ kind, key: row.after[0], before, after: toRow(kind, row.after) });
      else if (!same) changes.push({ kind, key: row.before[0], before }, { kind, key: row.after[0], after: toRow(kind, row.after) });
    }
  }
  return changes;
}

// Discards the preview, which is out of date after any further edit.
function clearPreview() {
  state.changes = null;
  byId('accept').disabled = true;
  byId('preview').replaceChildren();
}

function createGrid(head, rows) {
  const table = element('table');
  const tr = element('tr');
  tr.append(...head.map((h) => element('th', h)));
  table.append(tr, ...rows.map((cells) => {
    const line = element('tr');
    line.append(...cells.map((c) => element('td', c === '' ? '–' : String(c), { title: String(c) })));
    return line;
  }));
  return table;
}

const formatShare = (s) => (s.tier ? (100 * s.share).toFixed(2) + ' % of ' + s.tier : '');

async function showPreview() {
  clearPreview();
  showMessage('');
  const changes = collectChanges();
  if (!changes.length) return showMessage('Nothing is changed.');
  const reply = await sendRequest('POST', '/table/preview', { changes });
  if (reply.conflicts || reply.problems) return showFailure(reply);
  byId('preview').append(
    createGrid(['kind', 'row', 'column', 'now', 'then'], (reply.cells || []).filter((c) => c.before !== c.after).map((c) => [c.kind, c.key, c.column, c.before, c.after])),
    element('h2', 'Effect on shares'),
    createGrid(['organisation', 'now', 'then'], (reply.effects || []).map((e) => [e.organisation, formatShare(e.before), formatShare(e.after)])));
  state.changes = changes;
  state.edit = crypto.randomUUID ? crypto.randomUUID() : randomID();
  byId('accept').disabled = !(reply.cells || []).length;
}

// Generates a version 4 UUID; crypto.randomUUID exists only on https and localhost.
function randomID() {
  const b = crypto.getRandomValues(new Uint8Array(16));
  b[6] = (b[6] & 15) | 64;
  b[8] = (b[8] & 63) | 128;
  const hex = Array.from(b, (x) => x.toString(16).padStart(2, '0')).join('');
  return hex.replace(/^(.{8})(.{4})(.{4})(.{4})(.{12})$/, '$1-$2-$3-$4-$5');
}

function showFailure(failure) {
  byId('accept').disabled = true;
  if (failure.conflicts) {
    showMessage('Somebody else has changed these cells. Nothing was accepted. Note what you still want, discard, and change it again.', true);
    byId('preview').replaceChildren(createGrid(['kind', 'row', 'column', 'when you began', 'theirs', 'yours'],
      failure.conflicts.map((c) => [c.kind, c.key, c.column, c.base, c.theirs, c.yours])));
    return;
  }
  if (failure.problems) {
    showMessage('The table would not be valid. Nothing was accepted.', true);
    byId('preview').replaceChildren(createGrid(['kind', 'row', 'column', 'value', 'problem'],
      failure.problems.map((p) => [p.kind, p.key || p.row || '', p.column || '', p.value || '', p.reason])));
    return;
  }
  const suffix = failure.outcome === 'not_accepted' ? ' Nothing was accepted.' : '';
  showMessage(failure.title + ': ' + failure.detail + suffix, true);
}

const delay = (ms) => new Promise((done) => setTimeout(done, ms));

async function accept() {
  byId('accept').disabled = true;
  const id = state.edit;
  const base = state.generation;
  let request = () => sendRequest('POST', '/edits', { id, base, note: byId('note').value, changes: state.changes });
  for (;;) {
    try {
      const reply = await request();
      await reload();
      return showMessage('Accepted: generation ' + reply.version.generation + '. See below when it is in force on all nodes.');
    } catch (failure) {
      if (failure.outcome !== 'unknown') return showFailure(failure);
      showMessage('It is not known yet whether the edit ' + id + ' was accepted (' + failure.title + '). Finding out…', true);
      await delay(2000);
      request = () => sendRequest('GET', '/edits/' + id + '?base=' + base);
    }
  }
}

async function reload() {
  loadTable(await sendRequest('GET', '/table'));
  await drawHistory();
  await drawStatus();
}

async function drawHistory() {
  const reply = await sendRequest('GET', '/history').catch(() => ({ versions: [] }));
  const rows = (reply.versions || []).map((v) => [v.generation, v.author || '', v.note || '', v.edit]);
  byId('history').replaceChildren(...createGrid(['generation', 'author', 'why', 'edit'], rows).childNodes);
}

function formatAge(seconds) {
  if (seconds < 90) return seconds.toFixed(0) + ' s';
  if (seconds < 5400) return (seconds / 60).toFixed(0) + ' min';
  return (seconds / 3600).toFixed(1) + ' h';
}

function nodeState(node, latest) {
  if (node.unreachable) return "can't be reached: " + node.unreachable;
  const t = node.table;
  if (!t) return 'keeps no table';
  const notes = [];
  if (t.error) notes.push(`can't apply generation ${t.held}: ${t.error}`);
  else if (t.in_force < latest) notes.push('behind');
  if (t.store_behind) notes.push('the store shows an older table');
  if (t.store_error) notes.push('store: ' + t.store_error);
  if (t.displaced) notes.push(`another version of generation ${t.displaced} was displaced`);
  return notes.join('; ') || 'ok';
}

async function drawStatus() {
  const status = await sendRequest('GET', '/status');
  const unreachable = status.nodes.length - status.reachable;
  byId('summary').textContent = status.latest
    ? `Generation ${status.latest} is in force on ${status.in_force} of ${status.reachable} nodes that can be reached; ${unreachable} can't be reached.`
    : 'No table has been accepted yet.';
  const rows = status.nodes.map((n) => [n.data_centre, n.node, n.table ? n.table.in_force : '', n.table && n.table.in_force ? formatAge(n.table.since_seconds) : '', nodeState(n, status.latest)]);
  const table = createGrid(['data centre', 'node', 'in force', 'since', 'state'], rows);
  rows.forEach((row, i) => { if (row[4] !== 'ok') table.rows[i + 1].className = 'unhealthy'; });
  byId('nodes').replaceChildren(...table.childNodes);
  if (status.latest > state.generation) {
    byId('generation').textContent = `generation ${state.generation}; ${status.latest} is the latest: discard to see it`;
  }
  return status.nodes.length;
}

async function watchStatus() {
  for (let nodes = 0; ; ) {
    await delay(Math.max(statusIntervalMs, statusIntervalPerNodeMs * nodes));
    nodes = await drawStatus().catch((f) => {
      byId('summary').textContent = (f.title || 'No answer') + ': ' + (f.detail || f);
      return nodes;
    });
  }
}

const withErrorReport = (work) => (event) => {
  if (event) event.preventDefault();
  return work().catch((failure) => showFailure(failure.title ? failure : { title: 'The page failed', detail: String(failure) }));
};

byId('login').addEventListener('submit', withErrorReport(async () => {
  state.key = byId('key').value.trim();
  await reload();
  byId('login').hidden = true;
  byId('main').hidden = false;
  showMessage('');
  watchStatus();
}));
byId('show').addEventListener('click', withErrorReport(showPreview));
byId('accept').addEventListener('click', withErrorReport(accept));
byId('discard').addEventListener('click', withErrorReport(async () => { showMessage(''); await reload(); }));
byId('add').addEventListener('click', () => { state.rows[state.kind].push(emptyRow()); clearPreview(); drawTable(); });
