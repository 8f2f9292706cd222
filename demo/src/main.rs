//! A demonstration: runs store, database servers and instances in one process, sends some
//! sample requests, and then serves clients.

mod deployment;

use std::error::Error;
use std::time::Duration;

use argh::FromArgs;
use chervilwharf_lib::protos::Inquiry;
use deployment::Deployment;
use tokio_postgres::Client;
use tokio_postgres::NoTls;

/// Starts a whole deployment on embedded stand-ins and runs some sample requests.
#[derive(FromArgs)]
struct Arguments {
    /// example configuration to use: pl-mid or pnw
    #[argh(option, default = "String::from(\"pl-mid\")")]
    deployment: String,
    /// exit after the sample requests instead of serving until Ctrl-C
    #[argh(switch)]
    once: bool,
}

const PL_MID: &str = include_str!("../../examples/pl-mid.json");
const PNW: &str = include_str!("../../examples/pnw.json");

/// Longest wait until all databases are served.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Arguments = argh::from_env();
    let text = match arguments.deployment.as_str() {
        "pl-mid" => PL_MID,
        "pnw" => PNW,
        other => return Err(format!("unknown deployment {other}, expected pl-mid or pnw").into()),
    };
    let deployment = Deployment::start(text).await?;
    wait_until_served(&deployment).await?;
    run_sample(&deployment).await?;
    print_addresses(&deployment);
    if !arguments.once {
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

async fn wait_until_served(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    let database_count = deployment.config.databases.len();
    loop {
        let owned = deployment.daemons.iter().map(|daemon| {
            let owned = daemon.context().databases.instance.owned();
            owned.iter().filter(|(_, term)| *term > 0).count()
        });
        if owned.sum::<usize>() == database_count {
            return Ok(());
        }
        if tokio::time::Instant::now() >= deadline {
            return Err("not all databases are served".into());
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn connect(
    deployment: &Deployment,
    instance: usize,
    account: &str,
    database: &str,
) -> Result<Client, Box<dyn Error>> {
    let address = deployment.daemons[instance].client_address;
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(account)
        .password(account)
        .dbname(database);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

/// Writes a row through the first instance, reads it through the second, and gets the outcome
/// of the write from the third.
async fn run_sample(deployment: &Deployment) -> Result<(), Box<dyn Error>> {
    let account = choose_sample_account(deployment);
    let database = deployment.config.databases.keys().next().ok_or("no database")?;
    println!("sample as account {account} on database {database}");
    let writer = connect(deployment, 0, &account, database).await?;
    writer.batch_execute("CREATE TABLE bookings (unit INTEGER PRIMARY KEY, tenant TEXT)").await?;
    writer.batch_execute("SET chervilwharf.request_id = 'demo-1'").await?;
    writer.batch_execute("INSERT INTO bookings VALUES (17, 'Nowak')").await?;
    println!("  wrote a booking at {}", deployment.daemons[0].client_address);
    let reader = connect(deployment, 1, &account, database).await?;
    let rows = reader.query("SELECT unit, tenant FROM bookings", &[]).await?;
    for row in rows {
        let (unit, tenant): (i64, String) = (row.get(0), row.get(1));
        let address = deployment.daemons[1].client_address;
        println!("  read unit {unit} of {tenant} at {address}");
    }
    let inquiry = Inquiry {
        database: database.to_string(),
        account,
        request_id: "demo-1".into(),
        settle: true,
    };
    let reply =
        chervilwharf_daemon::forward::inquire(deployment.daemons[2].context(), inquiry).await;
    println!("  request demo-1: {:?} at {}/{}", reply.state(), reply.term, reply.index);
    Ok(())
}

/// Chooses, among the accounts whose service reads its own writes by default, the one whose
/// service has the highest priority, which is the lowest number.
fn choose_sample_account(deployment: &Deployment) -> String {
    let config = &deployment.config;
    let priority = |services: &Vec<std::sync::Arc<str>>| {
        services.first().and_then(|id| config.services.get(id)).map_or(255, |s| s.priority)
    };
    let defaults_to_own_writes = |services: &Vec<std::sync::Arc<str>>| {
        let service = services.first().and_then(|id| config.services.get(id));
        service
            .is_some_and(|s| s.freshness == chervilwharf_lib::config::DefaultFreshness::OwnWrites)
    };
    let accounts =
        config.accounts.iter().filter(|(_, account)| defaults_to_own_writes(&account.services));
    let best = accounts.min_by_key(|(_, account)| priority(&account.services));
    best.map(|(name, _)| name.to_string()).unwrap_or_default()
}

/// Prints the addresses of all parts, and commands that use them.
fn print_addresses(deployment: &Deployment) {
    println!("store {}", deployment.store.url());
    for daemon in &deployment.daemons {
        println!(
            "instance {} clients {} admin http://{}",
            daemon.context().settings.instance,
            daemon.client_address,
            daemon.admin_address
        );
    }
    for target in &deployment.targets {
        println!("server {} primary={}", target.address, target.is_primary());
    }
    let address = deployment.daemons[0].client_address;
    println!("try (the password of each account is its name):");
    for (name, account) in &deployment.config.accounts {
        let service = account.services.first().and_then(|id| deployment.config.services.get(id));
        let database = service.and_then(|service| service.depends_on.databases.first());
        if let Some(database) = database {
            let (ip, port) = (address.ip(), address.port());
            println!("  PGPASSWORD={name} psql -h {ip} -p {port} -U {name} {database}");
        }
    }
    println!("  chervilwharf --store {} status", deployment.store.url());
}
