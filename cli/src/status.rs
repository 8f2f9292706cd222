//! The `status` command: shows instances, databases, owners and servers.

use std::collections::BTreeMap;

use serde_json::Value;
use serde_json::json;

use crate::client::Client;
use crate::command::ExitStatus;
use crate::command::Output;

/// Prints the status of all instances and databases. Fails if an instance does not answer
/// or a database has no owner.
///
/// # Errors
///
/// Returns an error if the store does not answer or its list of instances cannot be read.
pub async fn run(output: &Output, client: &Client) -> Result<ExitStatus, String> {
    let mut instances = Vec::new();
    let mut databases: BTreeMap<String, Value> = BTreeMap::new();
    let mut all_answer = true;
    for listed in client.instances().await? {
        let status = client.query_instance(&listed, "status", &[]).await;
        all_answer &= status.is_ok();
        let status = status.unwrap_or(Value::Null);
        collect_databases(&mut databases, &listed.id, &status);
        instances.push(json!({
            "instance": listed.id,
            "failure_domain": listed.failure_domain,
            "answers": !status.is_null(),
            "leaving": status["leaving"].as_bool().unwrap_or(listed.leaving),
            "configuration_version": status["configuration_version"],
        }));
    }
    let all_served = databases.values().all(|database| !database["owner"].is_null());
    if output.json {
        output.line(json!({ "instances": instances, "databases": databases }));
    } else {
        print(output, &instances, &databases);
    }
    Ok(if all_answer && all_served { ExitStatus::Done } else { ExitStatus::Failed })
}

/// Adds the databases of one instance's status. If several instances report that they own
/// a database, the entry with the highest term is kept.
fn collect_databases(databases: &mut BTreeMap<String, Value>, instance: &str, status: &Value) {
    let Some(reported) = status["databases"].as_object() else {
        return;
    };
    for (name, database) in reported {
        let entry = databases.entry(name.clone()).or_insert_with(|| json!({ "owner": null }));
        let served = &database["serving_here"];
        let newer = served["term"].as_u64() > entry["term"].as_u64();
        if !served.is_null() && newer {
            let mut served = served.clone();
            served["owner"] = json!(instance);
            *entry = served;
        }
    }
}

fn to_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn print(output: &Output, instances: &[Value], databases: &BTreeMap<String, Value>) {
    output.line("instance          failure domain    answers  leaving  configuration");
    for instance in instances {
        output.line(format_args!(
            "{:<17} {:<17} {:<8} {:<8} {}",
            to_text(&instance["instance"]),
            to_text(&instance["failure_domain"]),
            to_text(&instance["answers"]),
            to_text(&instance["leaving"]),
            to_text(&instance["configuration_version"])
        ));
    }
    for (name, database) in databases {
        output.line("");
        output.line(format_args!(
            "database {name}: owner {} term {} open transactions {}",
            to_text(&database["owner"]),
            to_text(&database["term"]),
            to_text(&database["open_transactions"])
        ));
        let Some(servers) = database["servers"].as_array() else {
            output.line("  no instance serves it");
            continue;
        };
        output.line("  server            role     applied        waiting  connections  usable");
        for server in servers {
            let role = if server["primary"] == json!(true) { "primary" } else { "replica" };
            output.line(format_args!(
                "  {:<17} {role:<8} {:<14} {:<8} {:<12} {}",
                to_text(&server["server"]),
                to_text(&server["applied"]),
                to_text(&server["waiting"]),
                to_text(&server["connections"]),
                to_text(&server["usable"])
            ));
        }
    }
}
