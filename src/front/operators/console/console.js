"use strict";

// The operator key lives in this variable only: no cookie, no storage.
let key = null;
let draft = null;
let base = null;
let checkTimer = null;
let checkRound = 0;
let before = null;

const byId = (id) => document.getElementById(id);

// Type of each field: text, number, check, lines (a list of names) or a list of choices.
const KINDS = {
  "data-centres": { title: "Data centres", fields: { name: "text", region: "text", state: ["in", "out"] } },
  workspaces: { title: "Workspaces", fields: { name: "text", share: "number", limit: "number" }, keys: true },
  pools: { title: "Pools", fields: { name: "text", size: "number", spare: "check",
    "budget.unavailable": "number", "budget.rack": "number", instances: "lines" } },
  services: { title: "Services", fields: { name: "text", pool: "text", workspaces: "lines", slots: "number",
    connections: "number", "timeout-ms": "number", "body-limit": "number", "queue-limit": "number" } },
  queues: { title: "Queues", fields: { name: "text", pool: "text", workspaces: "lines" } },
  plans: { title: "Plans", fields: { name: "text", pool: "text", "period-days": "number",
    "window-start-hour": "number", "window-hours": "number", paused: "check" } },
};
const KEY_FIELDS = { name: "text", digest: "text", withdrawn: "check" };

function el(tag, attributes = {}, ...children) {
  const node = document.createElement(tag);
  for (const [name, value] of Object.entries(attributes)) {
    if (name.startsWith("on")) node.addEventListener(name.slice(2), value);
    else if (value === true) node.setAttribute(name, "");
    else if (value !== false && value !== null) node.setAttribute(name, value);
  }
  node.append(...children.map((child) => (child instanceof Node ? child : String(child ?? "-"))));
  return node;
}

function notice(text) { byId("notice").textContent = text; }

async function ask(method, path, body, ifMatch) {
  const headers = { authorization: `Bearer ${key}` };
  if (ifMatch !== undefined && ifMatch !== null) headers["if-match"] = `"${ifMatch}"`;
  const response = await fetch(path, { method, headers, body, credentials: "omit", cache: "no-store" });
  const text = await response.text();
  let json = null;
  try { json = JSON.parse(text); } catch { /* some refusals are plain text */ }
  const etag = response.headers.get("etag");
  return { status: response.status, ok: response.ok, text, json, version: etag && Number(etag.replaceAll('"', "")) };
}

function table(caption, columns, rows) {
  const head = el("tr", {}, ...columns.map((name) => el("th", { scope: "col" }, name)));
  const line = (row) => el("tr", {}, ...columns.map((name) => el("td", {}, row[name])));
  const body = el("tbody", {}, ...(rows || []).map(line));
  const whole = el("table", {}, el("caption", {}, caption), el("thead", {}, head), body);
  return el("div", { class: "scroll", tabindex: "0", role: "region", "aria-label": caption }, whole);
}

function differences(list) {
  if (!list) return el("p", {}, "A document is not readable, so the differences are not known.");
  if (!list.length) return el("p", {}, "No differences.");
  const show = (value) => (value === null ? "nothing" : JSON.stringify(value));
  return el("ul", {}, ...list.map((d) =>
    el("li", {}, el("code", {}, d.field), `: ${show(d.before)} \u2192 ${show(d.after)}`)));
}

// Status page

async function showStatus() {
  const answer = await ask("GET", "/v1/status");
  if (!answer.ok) return notice(`Status: ${answer.status} ${answer.text}`);
  const s = answer.json;
  byId("instance").textContent = `${s.name} in ${s["data-centre"]}, version ${s.version ?? "none"}`;
  const lag = s.lagging.length ? `Not at the newest version: ${s.lagging.join(", ")}.` : "All at the newest version.";
  byId("status-body").replaceChildren(
    el("p", {}, `${s.ready ? "Ready" : "Not ready"}. ${s.running} running, ${s.waiting} waiting here. ${lag}`),
    table("Entry instances", ["name", "version", "connected", "voter"], s.instances),
    table("Data centres and their targets", ["name", "state", "live", "ejected", "leaving"], s["data-centres"]),
    table("Workspaces", ["name", "share", "limit", "running", "running-fleet", "waiting"], s.workspaces));
}

async function showEvents() {
  const answer = await ask("GET", "/v1/events");
  if (!answer.ok) return notice(`Events: ${answer.status} ${answer.text}`);
  const row = ({ kind, first, last, count, ...rest }) => ({
    last: new Date(last).toLocaleTimeString(), kind, count,
    detail: Object.entries(rest).map(([name, value]) =>
      `${name} ${typeof value === "object" ? JSON.stringify(value) : value}`).join("; "),
  });
  byId("events-body").replaceChildren(
    table("Newest first", ["last", "kind", "count", "detail"], answer.json.events.map(row)));
}

// History

async function showHistory(more) {
  const query = more && before ? `?before=${before}` : "";
  const answer = await ask("GET", `/v1/fleet/history${query}`);
  if (!answer.ok) return notice(`History: ${answer.status} ${answer.text}`);
  const item = (v) => el("li", { value: v.version },
    `${new Date(v.time).toLocaleString()} by ${v.author} `,
    el("button", { type: "button", onclick: () => run(reapply(v.version)) }, `Put version ${v.version} in force again`),
    differences(v.differences), v.omitted ? el("p", {}, `and ${v.omitted} more`) : "");
  const items = answer.json.versions.map(item);
  if (more) byId("versions").append(...items);
  else byId("versions").replaceChildren(...items);
  before = answer.json.next;
  byId("older").hidden = before === null;
}

async function reapply(version) {
  const [old, now] = [await ask("GET", `/v1/fleet/history/${version}?plain=true`), await ask("GET", "/v1/fleet")];
  if (!old.ok || !now.ok) return notice(`Version ${version}: ${old.ok ? now.text : old.text}`);
  draft = old.json;
  base = now.version;
  showPage("document", true);
  notice(`This is the document of version ${version}. Check the preview, then put it in force.`);
}

// Document

async function load() {
  const answer = await ask("GET", "/v1/fleet?plain=true");
  if (answer.status === 404) {
    draft = { name: "fleet", "data-centres": [], workspaces: [], pools: [], services: [], queues: [], plans: [] };
    base = null;
  } else if (answer.ok) {
    draft = answer.json;
    base = answer.version;
  } else return notice(`Document: ${answer.status} ${answer.text}`);
  byId("conflict").hidden = true;
  drawForms();
}

function get(item, path) { return path.split(".").reduce((at, name) => at?.[name], item); }

function set(item, path, value) {
  const names = path.split(".");
  const last = names.pop();
  const at = names.reduce((at, name) => (at[name] ??= {}), item);
  if (value === undefined) delete at[last];
  else at[last] = value;
}

// Numbers that are none go to the server as text, which says what is accepted in their place.
function number(text) { return text === "" ? undefined : /^\d{1,15}$/.test(text) ? Number(text) : text; }

function field(item, name, type, path) {
  const id = `${path}.${name}`;
  const value = get(item, name);
  const store = (value) => { set(item, name, value); scheduleCheck(); };
  const common = { id, "aria-describedby": `${id}!` };
  let input;
  if (Array.isArray(type)) {
    input = el("select", { ...common, onchange: (e) => store(e.target.value) },
      ...type.map((choice) => el("option", { selected: choice === value }, choice)));
  } else if (type === "check") {
    input = el("input", { ...common, type: "checkbox", checked: value === true, onchange: (e) => store(e.target.checked) });
  } else if (type === "lines") {
    const read = (e) => store(e.target.value.split(/\s+/).filter((line) => line !== ""));
    input = el("textarea", { ...common, rows: "3", oninput: read }, (value || []).join("\n"));
  } else {
    const read = (e) => store(type === "number" ? number(e.target.value) : e.target.value);
    input = el("input", { ...common, value: value ?? "", inputmode: type === "number" ? "numeric" : null, oninput: read });
  }
  return el("div", { class: "field" }, el("label", { for: id }, name), input,
    el("span", { id: `${id}!`, class: "problem" }, ""));
}

function drawForms() {
  byId("base").textContent = base === null ? "No document is in force yet." : `Edits are based on version ${base}.`;
  const fleet = el("fieldset", {}, el("legend", {}, "Fleet"),
    el("div", { class: "fields" }, rootField("name", "text"), rootField("longest-run-ms", "number")));
  byId("forms").replaceChildren(fleet, ...Object.entries(KINDS).map(([kind, shape]) => drawKind(kind, shape)));
  scheduleCheck();
}

function rootField(name, type) {
  const node = field(draft, name, type, "");
  // Paths of the outermost fields have no object before them.
  node.querySelector("input").id = name;
  node.querySelector("label").htmlFor = name;
  node.querySelector(".problem").id = `${name}!`;
  node.querySelector("input").setAttribute("aria-describedby", `${name}!`);
  return node;
}

function drawKind(kind, shape) {
  const list = (draft[kind] ??= []);
  const entry = (item, index) => {
    const path = `${kind}[${index}]`;
    const fields = Object.entries(shape.fields).map(([name, type]) => field(item, name, type, path));
    const remove = () => { list.splice(index, 1); drawForms(); byId(`add-${kind}`).focus(); };
    return el("fieldset", {}, el("legend", {}, item.name || `New in ${shape.title}`),
      el("div", { class: "fields" }, ...fields),
      shape.keys ? drawKeys(item, path) : "",
      el("span", { id: `${path}!`, class: "problem" }, ""),
      el("button", { type: "button", onclick: remove }, `Remove ${item.name || "entry"}`));
  };
  const add = () => {
    list.push({ name: "" });
    drawForms();
    byId(`${kind}[${list.length - 1}].name`).focus();
  };
  return el("details", { open: true }, el("summary", {}, `${shape.title} (${list.length})`),
    el("span", { id: `${kind}!`, class: "problem" }, ""), ...list.map(entry),
    el("button", { id: `add-${kind}`, type: "button", onclick: add }, `Add to ${shape.title}`));
}

function drawKeys(workspace, path) {
  workspace.keys ??= [];
  const entry = (item, index) => {
    const at = `${path}.keys[${index}]`;
    return el("div", { class: "fields" },
      ...Object.entries(KEY_FIELDS).map(([name, type]) => field(item, name, type, at)));
  };
  const id = `${path}.new-key`;
  const name = el("input", { id });
  const issue = async () => {
    if (name.value === "") return name.focus();
    const answer = await ask("POST", "/v1/keys");
    if (!answer.ok) return notice(`Key: ${answer.status} ${answer.text}`);
    workspace.keys.push({ name: name.value, digest: answer.json.digest });
    drawForms();
    showSecret(name.value, answer.json.secret);
  };
  return el("fieldset", {}, el("legend", {}, "Keys"), ...workspace.keys.map(entry),
    el("span", { id: `${path}.keys!`, class: "problem" }, ""),
    el("label", { for: id }, "Name of a new key "), name,
    el("button", { type: "button", onclick: () => run(issue()) }, "Issue"));
}

function showSecret(name, secret) {
  const hide = () => { byId("secret").replaceChildren(); byId("secret").hidden = true; };
  byId("secret").replaceChildren(
    el("p", {}, `Secret of key ${name}, shown only now; it works once the document is in force:`),
    el("p", {}, el("code", {}, secret)), el("button", { type: "button", onclick: hide }, "Hide the secret"));
  byId("secret").hidden = false;
  byId("secret").querySelector("button").focus();
}

function scheduleCheck() {
  byId("apply").disabled = true;
  clearTimeout(checkTimer);
  checkTimer = setTimeout(() => run(check()), 400);
}

async function check() {
  const round = ++checkRound;
  const answer = await ask("POST", "/v1/fleet/check", JSON.stringify(draft));
  // A newer edit has its own check.
  if (round !== checkRound) return;
  if (!answer.ok) return notice(`Check: ${answer.status} ${answer.text}`);
  const { valid, problems, version } = answer.json;
  showProblems(problems);
  const preview = byId("preview");
  if (!valid) return preview.replaceChildren(el("p", {}, `${problems.length} problems; the first is shown beside its field.`));
  const effects = answer.json.effects.map((effect) => el("li", {}, effect.text));
  const stale = base !== null && version !== base;
  preview.replaceChildren(
    stale ? el("p", { role: "alert" }, `Version ${version} came since; the differences are from it.`) : "",
    differences(answer.json.differences), el("ul", {}, ...effects),
    el("p", {}, `Needs the role ${answer.json.role}.`));
  byId("apply").disabled = !answer.json.first && !answer.json.differences.length;
}

function showProblems(problems) {
  document.querySelectorAll(".problem").forEach((node) => { node.textContent = ""; });
  document.querySelectorAll("[aria-invalid]").forEach((node) => node.removeAttribute("aria-invalid"));
  const rest = [];
  for (const problem of problems) {
    let path = problem.field;
    // A problem of something without a field of its own shows at what encloses it.
    while (path && !byId(`${path}!`)) path = path.replace(/(\.[^.[]+|\[\d+\]|^[^.[]+)$/, "");
    const text = `${problem.value}: accepted ${problem.accepted}. `;
    if (!path) { rest.push(`${problem.field}: ${text}`); continue; }
    byId(`${path}!`).append(text);
    byId(path)?.setAttribute("aria-invalid", "true");
  }
  byId("general").textContent = rest.join(" ");
}

async function apply() {
  byId("apply").disabled = true;
  const answer = await ask("PUT", "/v1/fleet", JSON.stringify(draft), base);
  if (answer.ok) {
    notice(`Version ${answer.json.version} is accepted.`);
    await load();
  } else if (answer.status === 412) showConflict(answer.json);
  else if (answer.status === 422) showProblems(answer.json);
  else if (answer.status === 504) {
    notice(`It is unknown whether the change is in force. Look for operation ${answer.json?.operation} in the history before you try again.`);
  } else notice(`Not accepted: ${answer.json?.reason ?? answer.text}`);
}

function showConflict(conflict) {
  const keep = () => {
    base = conflict.version;
    byId("conflict").hidden = true;
    drawForms();
  };
  byId("conflict").replaceChildren(
    el("h3", {}, `${conflict.author} put version ${conflict.version} in force first`),
    el("p", {}, "Nothing of yours is in force. Changed since the version on which you worked:"),
    differences(conflict.changed),
    el("p", {}, "From your document to the one in force:"), differences(conflict.differences),
    el("button", { type: "button", onclick: () => run(load()) }, `Drop my edits and load version ${conflict.version}`),
    el("button", { type: "button", onclick: keep }, `Keep my document, which undoes the changes of version ${conflict.version}`));
  byId("conflict").hidden = false;
  byId("conflict").querySelector("button").focus();
}

// Pages and sign-in

const PAGES = {
  status: showStatus, history: () => showHistory(false), events: showEvents,
  document: (keep) => (keep || draft ? drawForms() : load()),
};

function showPage(name, keep) {
  for (const page of Object.keys(PAGES)) byId(page).hidden = page !== name;
  document.querySelectorAll("nav button").forEach((button) => {
    if (button.dataset.page === name) button.setAttribute("aria-current", "page");
    else button.removeAttribute("aria-current");
  });
  notice("");
  return run(PAGES[name](keep));
}

function run(promise) {
  return Promise.resolve(promise).catch((error) => notice(`The instance does not answer: ${error.message}`));
}

function signOut() {
  key = draft = base = before = null;
  clearTimeout(checkTimer);
  byId("signed-in").hidden = byId("sign-out").hidden = true;
  byId("sign-in").hidden = false;
  for (const id of ["status-body", "forms", "preview", "versions", "events-body", "conflict", "secret", "general", "notice", "instance"]) {
    byId(id).replaceChildren();
  }
  byId("key").focus();
}

async function signIn(event) {
  event.preventDefault();
  key = byId("key").value;
  byId("key").value = "";
  const answer = await ask("GET", "/v1/status");
  if (!answer.ok) {
    key = null;
    return notice(`Sign-in: ${answer.status} ${answer.text}`);
  }
  byId("sign-in").hidden = true;
  byId("signed-in").hidden = byId("sign-out").hidden = false;
  await showPage("status");
}

byId("sign-in").addEventListener("submit", (event) => run(signIn(event)));
byId("sign-out").addEventListener("click", signOut);
byId("apply").addEventListener("click", () => run(apply()));
byId("reload").addEventListener("click", () => run(load()));
byId("older").addEventListener("click", () => run(showHistory(true)));
document.querySelectorAll("nav button").forEach((button) =>
  button.addEventListener("click", () => showPage(button.dataset.page)));
setInterval(() => {
  if (key === null || document.hidden) return;
  if (!byId("status").hidden) run(showStatus());
  if (!byId("events").hidden) run(showEvents());
}, 2000);
