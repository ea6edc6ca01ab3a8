//! Converts the settings document to [`edge_routing::Settings`]. Fills in defaults and translates
//! keywords.

use crate::document::{Category, Customer, FamilyInfo, IndexedList, Rules, SettingsDocument};
use crate::json::{Object, Tolerant, WholeNumber};
use crate::SettingsReadError;
use edge_routing as routing;

/// Converts the settings and fills in defaults. Returns an error if a list entry for an existing
/// class or zone has the wrong type.
pub(crate) fn settings(document: SettingsDocument) -> Result<routing::Settings, SettingsReadError> {
    let Object(family_info) = document.family_info.unwrap_or_default();
    let Object(limits) = document.limits.unwrap_or_default();
    let Object(rules) = document.rules.unwrap_or_default();
    let Object(telemetry) = document.telemetry.unwrap_or_default();
    let zones = zones(document.localities.unwrap_or_default(), &family_info)?;
    let own_zone_index = zones.iter().position(|zone| zone.name == document.zone);
    Ok(routing::Settings {
        classes: classes(document.categories.unwrap_or_default(), &family_info)?,
        tenants: tenants(document.customers.unwrap_or_default()),
        zones,
        // `Settings::validate` rejects this index if no zone has the proxy's zone name.
        own_zone_index: own_zone_index.unwrap_or(usize::MAX),
        parent_kind: kind_name(&document.kinds, family_info.parent_kind),
        origin_kind: kind_name(&document.kinds, family_info.origin_kind).unwrap_or_default(),
        poll_endpoint_list: document.discovery.as_deref() == Some("ask"),
        direct_requests: family_info.direct_requests.unwrap_or(false),
        coalescing: family_info.coalescing.unwrap_or(false),
        peer_fill: peer_fill(family_info.peer_fill.as_deref()),
        provenance: provenance(family_info.provenance.as_deref()),
        load_reports: load_reports(telemetry.source.as_deref()),
        weights_are_capacities: matches!(document.weights.as_deref(), Some("nominal" | "rough")),
        transfer_kb_per_s: family_info.transfer_kb_per_s.unwrap_or(0.0),
        max_attempts: WholeNumber::value_or(limits.max_attempts, 1) as u32,
        hedging: limits.hedging.unwrap_or(false),
        cancellation: limits.cancellation.unwrap_or(false),
        probing: limits.probing.unwrap_or(false),
        retry_after: limits.retry_after.unwrap_or(false),
        max_retry_after_us: WholeNumber::value_or(limits.max_retry_after_us, 0),
        origin_overload_multiple: family_info.origin_overload_multiple.unwrap_or(0.0),
        rules: deployment_rules(&rules, &family_info),
    })
}

fn classes(
    categories: Vec<Object<Category>>,
    family_info: &FamilyInfo,
) -> Result<Vec<routing::Class>, SettingsReadError> {
    categories
        .into_iter()
        .enumerate()
        .map(|(index, Object(category))| class(index, category, family_info))
        .collect()
}

fn class(
    index: usize,
    category: Category,
    family_info: &FamilyInfo,
) -> Result<routing::Class, SettingsReadError> {
    let freshness_lifetime_us =
        list_entry(&family_info.freshness_lifetime_us, "good-for-us", index)?;
    let stale_grace_us = list_entry(&family_info.stale_grace_us, "usable-after-us", index)?;
    Ok(routing::Class {
        name: category.name,
        latency_objective_us: category.latency_objective_us.0,
        objective_extension_per_transfer_time: category
            .objective_extension_per_transfer_time
            .unwrap_or(0.0),
        deadline_us: category.deadline_us.0,
        priority_weight: category.priority_weight.unwrap_or(1.0),
        late_weight: category.late_weight.unwrap_or(0.0),
        idempotency: idempotency(category.idempotency.as_deref()),
        dedup_scope: dedup_scope(category.dedup_scope.as_deref()),
        dedup_window_us: WholeNumber::value_or(category.dedup_window_us, 0),
        streaming: category.streaming.unwrap_or(false),
        multipart: list_entry(&family_info.multipart, "in-pieces", index)?.unwrap_or(false),
        is_write: list_entry(&family_info.is_write, "never-kept", index)?.unwrap_or(false),
        freshness_lifetime_us: WholeNumber::value_or(freshness_lifetime_us, 0),
        stale_grace_us: WholeNumber::value_or(stale_grace_us, 0),
        stale_weight: list_entry(&family_info.stale_weight, "old-copy-worth", index)?
            .unwrap_or(0.0),
    })
}

fn tenants(customers: Vec<Object<Customer>>) -> Vec<routing::Tenant> {
    customers
        .into_iter()
        .map(|Object(customer)| routing::Tenant {
            name: customer.name,
            quota_rps: customer.quota_rps.unwrap_or(0.0),
        })
        .collect()
}

fn zones(
    names: Vec<String>,
    family_info: &FamilyInfo,
) -> Result<Vec<routing::Zone>, SettingsReadError> {
    names
        .into_iter()
        .enumerate()
        .map(|(index, name)| {
            let edge_proxy_count =
                list_entry(&family_info.edge_proxy_counts, "seats-by-zone", index)?;
            let hub = list_entry(&family_info.hub, "attached-to", index)?;
            let link_kb_per_s =
                list_entry(&family_info.link_kb_per_s, "zone-link-kb-per-s", index)?;
            Ok(routing::Zone {
                name,
                edge_proxy_count: WholeNumber::value_or(edge_proxy_count, 1) as u32,
                hub_zone_index: WholeNumber::value_or(hub, 0) as usize,
                link_kb_per_s: link_kb_per_s.unwrap_or(0.0),
            })
        })
        .collect()
}

fn deployment_rules(rules: &Rules, family_info: &FamilyInfo) -> routing::Rules {
    routing::Rules {
        drain_grace_us: WholeNumber::value_or(rules.drain_grace_us, 0),
        warm_up_initial_share: rules.warm_up_initial_share.unwrap_or(1.0),
        warm_up_us: WholeNumber::value_or(rules.warm_up_us, 0),
        overload_multiple: rules.overload_multiple.unwrap_or(1.0),
        overload_window_us: WholeNumber::value_or(rules.overload_window_us, 1),
        parent_warm_up_initial_share: family_info.parent_warm_up_initial_share.unwrap_or(1.0),
        parent_warm_up_us: WholeNumber::value_or(family_info.parent_warm_up_us, 0),
        parent_overload_multiple: family_info.parent_overload_multiple.unwrap_or(1.0),
        purge_grace_us: WholeNumber::value_or(family_info.purge_grace_us, 0),
        purge_completion_us: WholeNumber::value_or(family_info.purge_completion_us, 0),
        max_poll_interval_us: WholeNumber::value_or(rules.max_poll_interval_us, 0),
    }
}

/// Returns the entry of a `family-info` list at the index of a class or zone, or None if the list
/// is absent or too short. `key` is the list's key, which errors name.
fn list_entry<T: Copy>(
    list: &IndexedList<T>,
    key: &str,
    index: usize,
) -> Result<Option<T>, SettingsReadError> {
    match list.as_ref().and_then(|list| list.get(index)) {
        None => Ok(None),
        Some(Tolerant::Valid(value)) => Ok(Some(*value)),
        Some(Tolerant::Invalid(_)) => Err(SettingsReadError::WrongType {
            path: format!("family-info.{key}[{index}]"),
        }),
    }
}

/// Returns the server kind at an index of `kinds`, or None if the index is absent, negative or past
/// the end, or if the entry is not a string.
fn kind_name(kinds: &IndexedList<String>, index: Option<f64>) -> Option<String> {
    let index = index.filter(|index| *index >= 0.0)? as usize;
    kinds.as_ref()?.get(index)?.as_valid().cloned()
}

// Translation of keywords. An absent or unknown keyword selects the most restrictive variant.

fn idempotency(keyword: Option<&str>) -> routing::Idempotency {
    match keyword {
        Some("pure") => routing::Idempotency::Idempotent,
        Some("token") => routing::Idempotency::IdempotencyKey,
        _ => routing::Idempotency::NonIdempotent,
    }
}

fn dedup_scope(keyword: Option<&str>) -> routing::DedupScope {
    match keyword {
        Some("all") => routing::DedupScope::All,
        Some("zone") => routing::DedupScope::Zone,
        _ => routing::DedupScope::Cell,
    }
}

fn peer_fill(keyword: Option<&str>) -> routing::PeerFill {
    match keyword {
        Some("location") => routing::PeerFill::SameLocation,
        Some("any") => routing::PeerFill::Any,
        _ => routing::PeerFill::Off,
    }
}

fn provenance(keyword: Option<&str>) -> routing::Provenance {
    match keyword {
        Some("all") => routing::Provenance::Full,
        Some("hit") => routing::Provenance::HitOnly,
        _ => routing::Provenance::Off,
    }
}

fn load_reports(keyword: Option<&str>) -> routing::LoadReportSource {
    match keyword {
        Some("inline") => routing::LoadReportSource::Answers,
        Some("on_probe") => routing::LoadReportSource::Probes,
        _ => routing::LoadReportSource::Off,
    }
}
