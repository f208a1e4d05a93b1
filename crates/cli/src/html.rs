//! The report as a self-contained HTML page.

use {
    super::*,
    oleanderstage_core::burn::{Report, report::Service},
};

const STYLE: &str = "\
:root{--ink:#1c2430;--soft:#5b6675;--line:#d8dde4;--paper:#fff;--wash:#f4f6f9;--good:#2f7d4f;\
--bad:#b3402a;--mark:#2a5db0}\
@media(prefers-color-scheme:dark){:root{--ink:#e6eaf0;--soft:#9aa6b5;--line:#36404d;--paper:#161b22;\
--wash:#1f2630;--good:#5fbf87;--bad:#f0806a;--mark:#7aa7f0}}\
body{margin:0 auto;max-width:62rem;padding:2rem 1rem;font:15px/1.5 system-ui,sans-serif;\
color:var(--ink);background:var(--paper)}\
h1{font-size:1.5rem;margin:0}h2{font-size:1.2rem;margin:2.5rem 0 .25rem}h3{font-size:.95rem;\
margin:1.25rem 0 .25rem}p{margin:.25rem 0;color:var(--soft)}\
.missing{border-left:4px solid var(--bad);background:var(--wash);padding:.5rem .75rem;color:var(--ink);\
overflow-wrap:anywhere}\
.tiles{display:grid;grid-template-columns:repeat(auto-fit,minmax(8.5rem,1fr));gap:.5rem;margin:.75rem 0}\
.tile{background:var(--wash);border-radius:6px;padding:.5rem .75rem}.tile b{display:block;\
font-size:1.25rem;font-variant-numeric:tabular-nums}.tile span{color:var(--soft);font-size:.8rem}\
.over b{color:var(--bad)}svg{width:100%;height:auto;display:block}svg text{fill:var(--soft);\
font-size:11px;font-family:inherit}table{border-collapse:collapse;font-variant-numeric:tabular-nums}\
td{padding:.15rem 1rem .15rem 0}td:first-child{text-align:right}";

/// Returns the page of `report`. It loads nothing from elsewhere.
pub fn page(report: &Report) -> String {
    let mut text = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <meta name=\"viewport\" content=\"width=device-width\">\
         <title>Service-level burn</title><style>{STYLE}</style></head>\n<body>\
         <h1>Service-level burn</h1>\n"
    );
    // The lines after the first name the missing entries.
    for (index, line) in report::coverage(report).lines().enumerate() {
        let class = if index == 0 { "" } else { " class=\"missing\"" };
        let _ = writeln!(text, "<p{class}>{}</p>", escape(line));
    }
    for service in &report.services {
        text.push_str(&section(service));
    }
    text.push_str("</body></html>\n");
    text
}

fn section(service: &Service) -> String {
    format!(
        "<section><h2>{}</h2>\n<p>{:.3}% of requests are to be answered within {} ms.</p>\n\
         {}{}{}<h3>Burn rate over the last 72 hours</h3>\n\
         <p>At 1x, the dashed line, the budget lasts just 72 hours.</p>\n{}\n\
         <h3>Latency of answers</h3>\n{}</section>\n",
        service.name,
        service.objective.share * 100.0,
        service.objective.latency_ms,
        tiles(service),
        causes(service),
        vms(service),
        plot::burn(service),
        plot::latency(service)
    )
}

fn tiles(service: &Service) -> String {
    let tile = |title: &str, value: String, overdrawn: bool| {
        let class = if overdrawn { "tile over" } else { "tile" };
        format!("<div class=\"{class}\"><b>{value}</b><span>{title}</span></div>")
    };
    let budget = format!("{:.1}%", service.budget_left * 100.0);
    let (short, long) = (&service.short, &service.long);
    format!(
        "<div class=\"tiles\">{}{}{}{}{}{}</div>\n",
        tile("budget left", budget, service.budget_left < 0.0),
        tile("burn, 1 h", report::format_rate(short.burn_rate), short.burn_rate > 1.0),
        tile("burn, 72 h", report::format_rate(long.burn_rate), long.burn_rate > 1.0),
        tile("failed of all, 72 h", format!("{} / {}", long.bad, long.requests), false),
        tile("p50", report::format_latency(service.p50_us), false),
        tile("p99", report::format_latency(service.p99_us), false)
    )
}

fn causes(service: &Service) -> String {
    if service.long.causes.is_empty() {
        return "<p>Nothing took any of the budget.</p>\n".into();
    }
    let row = |count: &oleanderstage_core::burn::page::Count| {
        format!("<tr><td>{}</td><td>{}</td></tr>", count.requests, count.cause.as_str())
    };
    let rows: String = service.long.causes.iter().map(row).collect();
    format!("<h3>What took the budget in 72 hours</h3>\n<table>{rows}</table>\n")
}

fn vms(service: &Service) -> String {
    if service.vms.is_empty() {
        return String::new();
    }
    let row = |count: &oleanderstage_core::burn::page::VmCount| {
        format!("<tr><td>{}</td><td>{}</td></tr>", count.requests, count.vm)
    };
    let rows: String = service.vms.iter().map(row).collect();
    format!("<h3>Late answers and failed attempts by VM</h3>\n<table>{rows}</table>\n")
}

/// Escapes a text for HTML content and attributes.
pub(crate) fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
