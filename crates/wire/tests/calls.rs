//! Calls between the QUIC endpoints of two processes.

#![allow(clippy::unwrap_used)]

use {
    oleanderstage_core::{Name, Resources, config::Revision, job},
    oleanderstage_wire::{
        Call, Identity, Listener, Reply, codec::MAX_FRAME_BYTES, error::Step, keys,
    },
    std::{fs, path::PathBuf, time::Duration},
};

const TIMEOUT: Duration = Duration::from_secs(5);

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn identity(folder: &str, set: &keys::Set, index: usize, own: &str) -> Identity {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(folder);
    fs::create_dir_all(&folder).unwrap();
    let path = |suffix: &str| folder.join(format!("{own}-{suffix}.pem"));
    fs::write(path("ca"), &set.authority).unwrap();
    fs::write(path("cert"), &set.pairs[index].certificate).unwrap();
    fs::write(path("key"), &set.pairs[index].key).unwrap();
    Identity::read(&name(own), &path("ca"), &path("cert"), &path("key")).unwrap()
}

fn serve(identity: &Identity) -> (Listener, std::net::SocketAddr) {
    let address = std::net::UdpSocket::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let listener = Listener::bind(address, identity).unwrap();
    let (sender, mut calls) = tokio::sync::mpsc::channel(8);
    let server = listener.clone();
    tokio::spawn(async move { server.serve(sender).await });
    tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            call.answer(&Reply::Done).await.unwrap();
        }
    });
    (listener, address)
}

#[tokio::test]
async fn a_call_is_answered() {
    let set = keys::Set::generate(&[name("a"), name("b")]).unwrap();
    let (_server, address) = serve(&identity("answered", &set, 0, "a"));
    let client =
        Listener::bind("127.0.0.1:0".parse().unwrap(), &identity("answered", &set, 1, "b"))
            .unwrap();
    let link = client.link(&name("a"), address);
    let reply = link.call(&Call::Config { have: Revision(1) }, TIMEOUT).await.unwrap();
    assert_eq!(reply, Reply::Done);
}

#[tokio::test]
async fn a_peer_with_another_authoritys_key_is_refused() {
    let ours = keys::Set::generate(&[name("a")]).unwrap();
    let theirs = keys::Set::generate(&[name("b")]).unwrap();
    let (_server, address) = serve(&identity("refused-a", &ours, 0, "a"));
    let client =
        Listener::bind("127.0.0.1:0".parse().unwrap(), &identity("refused-b", &theirs, 0, "b"))
            .unwrap();
    let error = client
        .link(&name("a"), address)
        .call(&Call::Config { have: Revision(1) }, TIMEOUT)
        .await
        .unwrap_err();
    assert_eq!(error.step, Step::Connect);
}

#[tokio::test]
async fn an_oversized_frame_is_rejected_and_the_link_stays_usable() {
    let set = keys::Set::generate(&[name("a"), name("b")]).unwrap();
    let (_server, address) = serve(&identity("limit", &set, 0, "a"));
    let client =
        Listener::bind("127.0.0.1:0".parse().unwrap(), &identity("limit", &set, 1, "b")).unwrap();
    let link = client.link(&name("a"), address);
    let spec = job::Spec {
        class: name("render"),
        payload: "x".repeat(MAX_FRAME_BYTES),
        resources: Resources { accelerators: 0, memory_mib: 1, processors_milli: 1 },
        run_ms: 1,
        tasks: 1,
        team: name("news"),
    };
    let id = "zone-1.0.1".parse().unwrap();
    let error = link.call(&Call::Submit { id, spec }, TIMEOUT).await.unwrap_err();
    assert_eq!(error.step, Step::Codec);
    assert!(error.to_string().contains("above the limit of 2097152"), "{error}");
    let reply = link.call(&Call::Config { have: Revision(1) }, TIMEOUT).await.unwrap();
    assert_eq!(reply, Reply::Done);
}
